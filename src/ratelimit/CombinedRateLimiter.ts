import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Allows a call if all of several rate limiters do. */
export class CombinedRateLimiter implements types.IEndpointRateLimiter {
  /** Asks the limiters in order. */
  constructor(private readonly limiters: readonly types.IEndpointRateLimiter[]) {}

  /** @inheritdoc */
  rateOf(endpointId: string): number | undefined {
    const rates = this.limiters.flatMap((limiter) => limiter.rateOf(endpointId) ?? []);
    return rates.length === 0 ? undefined : Math.min(...rates);
  }

  /** @inheritdoc */
  delayOf(endpointId: string): commonTypes.Millis {
    return Math.max(0, ...this.limiters.map((limiter) => limiter.delayOf(endpointId)));
  }

  /** @inheritdoc */
  take(endpointId: string): boolean {
    return (
      this.delayOf(endpointId) === 0 && this.limiters.every((limiter) => limiter.take(endpointId))
    );
  }
}
