import type * as commonTypes from '../common/Types.js';
import type * as roomKeeper from '../room/RoomKeeper.js';
import type * as rateLimitExchange from './RateLimitExchange.js';
import type * as types from './Types.js';

/** Messages of entry VMs that concern room at brittle endpoints. */
export type RoomMessage = Extract<
  types.UpMessage,
  { readonly kind: 'room' | 'room-end' | 'rooms' | 'rejection-limits' }
>;

/** The part of the feed that concerns room at brittle endpoints. */
export class RoomExchange implements commonTypes.IDisposable {
  /** `limits` passes what one VM has seen of brittle endpoints to all others. */
  constructor(
    private readonly keeper: roomKeeper.RoomKeeper,
    private readonly limits: rateLimitExchange.RateLimitExchange,
  ) {}

  /** Sends all rejection limits to an entry VM that has connected. */
  greet(send: rateLimitExchange.SendFn): void {
    this.limits.greet(send);
  }

  /** Handles a message of the entry VM `vm`; `isCoordinator` tells whether this control VM may grant room. */
  handle(
    vm: string,
    message: RoomMessage,
    isCoordinator: boolean,
    send: rateLimitExchange.SendFn,
  ): void {
    switch (message.kind) {
      case 'room':
        if (isCoordinator) {
          this.keeper.request(vm, message.request, (answer) => send({ kind: 'room', answer }));
        } else {
          send({ kind: 'room', answer: { roomId: message.request.roomId, delay: 0 } });
        }
        break;
      case 'room-end':
        this.keeper.release(message.roomId, message.outcome);
        break;
      case 'rooms':
        this.keeper.adopt(vm, message.rooms);
        break;
      default:
        this.limits.handleLimits(vm, message.observations, send);
    }
  }

  /** Handles the end of the connection to an entry VM. */
  disconnect(vm: string): void {
    this.keeper.disconnect(vm);
  }

  /** @inheritdoc */
  dispose(): void {
    this.limits.dispose();
  }
}
