import * as emitter from '../../common/Emitter.js';
import type * as rateLimits from '../../ratelimit/Types.js';
import type * as types from '../Types.js';

/** Link to a coordinator that a test plays. */
export class FakeRoomLink implements types.IRoomLink {
  isConnected = true;

  /** Requests for room, in order. */
  readonly requests: types.IRoomRequest[] = [];

  /** Room that was given back, in order. */
  readonly released: { readonly roomId: string; readonly outcome: types.RoomOutcome }[] = [];

  /** Lists of room in use that were sent, in order. */
  readonly sentRooms: (readonly types.IRoomUse[])[] = [];

  /** Rejection limits that were sent, in order. */
  readonly sentLimits: rateLimits.IRateLimitObservation[] = [];

  readonly coordinatorFound = new emitter.Emitter<void>();

  readonly coordinatorLost = new emitter.Emitter<void>();

  readonly room = new emitter.Emitter<types.RoomAnswer>();

  readonly rejectionLimits = new emitter.Emitter<readonly rateLimits.IRateLimitObservation[]>();

  readonly onCoordinatorFound = this.coordinatorFound.event;

  readonly onCoordinatorLost = this.coordinatorLost.event;

  readonly onRoom = this.room.event;

  readonly onRejectionLimits = this.rejectionLimits.event;

  /** @inheritdoc */
  requestRoom(request: types.IRoomRequest): void {
    this.requests.push(request);
  }

  /** @inheritdoc */
  releaseRoom(roomId: string, outcome: types.RoomOutcome): void {
    this.released.push({ roomId, outcome });
  }

  /** @inheritdoc */
  sendRooms(rooms: readonly types.IRoomUse[]): void {
    this.sentRooms.push(rooms);
  }

  /** @inheritdoc */
  sendRejectionLimits(observations: readonly rateLimits.IRateLimitObservation[]): void {
    this.sentLimits.push(...observations);
  }
}
