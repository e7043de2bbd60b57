import type * as commonTypes from '../common/Types.js';

/** Tolerance for rounding errors in sums of fractions of a token. */
const EPSILON = 1e-6;

/** Rate and capacity of a bucket. */
export interface IBucketSize {
  /** Tokens per second. */
  readonly rate: number;
  /** Maximum number of tokens; at least 1. */
  readonly capacity: number;
}

/** A token bucket that starts empty. */
export class TokenBucket {
  private tokens = 0;

  private refilledAt: commonTypes.Millis;

  /** `size` returns the current size of the bucket, which may change. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly size: () => IBucketSize,
  ) {
    this.refilledAt = clock.monotonic();
  }

  /** Time until a token is available; 0 if there is one. */
  get delay(): commonTypes.Millis {
    const { rate } = this.size();
    const missing = 1 - this.currentTokens();
    return missing <= EPSILON ? 0 : (missing / rate) * 1000;
  }

  /** Takes a token; returns false, and takes nothing, if there is none. */
  take(): boolean {
    this.tokens = this.currentTokens();
    this.refilledAt = this.clock.monotonic();
    if (this.tokens < 1 - EPSILON) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private currentTokens(): number {
    const { rate, capacity } = this.size();
    const added = ((this.clock.monotonic() - this.refilledAt) / 1000) * rate;
    return Math.min(capacity, this.tokens + added);
  }
}
