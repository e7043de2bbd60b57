import type * as commonTypes from '../common/Types.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as types from './Types.js';

/** Sends a message to one entry VM or to all of them. */
export type SendFn = (message: types.DownMessage) => void;

/**
 * The part of the feed that concerns rate limits: passes what one VM has seen to all others, and grants permits while
 * this control VM coordinates.
 */
export class RateLimitExchange implements commonTypes.IDisposable {
  private readonly subscription: commonTypes.IDisposable;

  /** `broadcast` sends to all connected entry VMs; `kind` is that of the messages with limits. */
  constructor(
    private readonly table: rateLimitTable.RateLimitTable,
    private readonly limiter: rateLimits.IEndpointRateLimiter,
    broadcast: SendFn,
    private readonly kind: 'limits' | 'rejection-limits' = 'limits',
  ) {
    this.subscription = table.onChange(({ endpointId }) => {
      const observation = table.observationOf(endpointId);
      if (observation !== undefined) {
        broadcast({ kind, observations: [observation] });
      }
    });
  }

  /** Sends all limits to an entry VM that has connected. */
  greet(send: SendFn): void {
    const { observations } = this.table;
    if (observations.length > 0) {
      send({ kind: this.kind, observations });
    }
  }

  /** Adopts the observations of an entry VM, and returns to it those that are outdated. */
  handleLimits(
    vm: string,
    received: readonly rateLimits.IRateLimitObservation[],
    send: SendFn,
  ): void {
    const observations = this.table.merge(received, vm);
    if (observations.length > 0) {
      send({ kind: this.kind, observations });
    }
  }

  /** Answers a request for a permit. */
  handlePermit(permitId: number, endpointId: string, isCoordinator: boolean, send: SendFn): void {
    const isGranted = isCoordinator && this.limiter.take(endpointId);
    const delay = this.limiter.delayOf(endpointId);
    send({ kind: 'permit', answer: { permitId, isGranted, delay } });
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
  }
}
