import type * as commonTypes from '../common/Types.js';
import * as tokenBucket from './TokenBucket.js';
import type * as types from './Types.js';

/**
 * Lowest rate at which calls are sent to an endpoint, in calls per second: the limit of an endpoint that gets none
 * could never be seen to be lifted.
 */
export const MIN_RATE = 0.1;
/** Calls that may be sent at once after a pause: BURST_CALLS, and this part of a second's calls. */
const BURST_CALLS = 2;
const BURST_RATIO = 1 / 8;
/**
 * Part of the rates that a coordinator without a quorum grants: a successor may grant the whole rates at the same time.
 */
const UNCONFIRMED_RATIO = 0.2;

/**
 * Rate limiter of the coordinator, which grants the calls of all VMs. Each endpoint has a bucket of its own that starts
 * empty, so that the grants of a successor add to those of its predecessor without exceeding the rate.
 */
export class SharedRateLimiter implements types.IEndpointRateLimiter {
  private readonly buckets = new Map<string, tokenBucket.TokenBucket>();

  /** `isConfirmed` returns whether a quorum confirms that this VM is the coordinator. */
  constructor(
    private readonly rates: types.IRateSource,
    private readonly clock: commonTypes.IClock,
    private readonly isConfirmed: () => boolean,
  ) {
    rates.onChange(({ endpointId }) => this.followRate(endpointId));
    rates.limitedIds.forEach((endpointId) => this.followRate(endpointId));
  }

  /** @inheritdoc */
  rateOf(endpointId: string): number | undefined {
    const limit = this.rates.limitOf(endpointId);
    return limit === undefined ? undefined : this.grantedRate(limit);
  }

  /** @inheritdoc */
  delayOf(endpointId: string): commonTypes.Millis {
    return this.buckets.get(endpointId)?.delay ?? 0;
  }

  /** @inheritdoc */
  take(endpointId: string): boolean {
    return this.buckets.get(endpointId)?.take() ?? true;
  }

  /** Empties all buckets; called when this VM becomes the coordinator, because its predecessor granted calls until then. */
  reset(): void {
    const endpointIds = [...this.buckets.keys()];
    this.buckets.clear();
    endpointIds.forEach((endpointId) => this.followRate(endpointId));
  }

  private followRate(endpointId: string): void {
    if (this.rates.limitOf(endpointId) === undefined) {
      this.buckets.delete(endpointId);
    } else if (!this.buckets.has(endpointId)) {
      const bucket = new tokenBucket.TokenBucket(this.clock, () => this.sizeOf(endpointId));
      this.buckets.set(endpointId, bucket);
    }
  }

  private sizeOf(endpointId: string): tokenBucket.IBucketSize {
    const rate = this.grantedRate(this.rates.limitOf(endpointId) ?? 0);
    return { rate, capacity: BURST_CALLS + rate * BURST_RATIO };
  }

  private grantedRate(limit: number): number {
    return Math.max(limit, MIN_RATE) * (this.isConfirmed() ? 1 : UNCONFIRMED_RATIO);
  }
}
