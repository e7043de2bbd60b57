import type * as commonTypes from '../../common/Types.js';

const MINUTE_MS = 60_000;

/**
 * Spaces actions evenly, without bursts, since a new leader does not know how much of the rate the previous one used.
 */
export class RateLimiter {
  private nextAt: commonTypes.Millis = 0;

  /** Allows `perMinute` actions per minute. */
  constructor(
    private readonly perMinute: number,
    private readonly clock: commonTypes.IClock,
  ) {}

  /** Resolves when the caller may start its action; rejects when `signal` aborts. */
  async take(signal: AbortSignal): Promise<void> {
    const now = this.clock.monotonic();
    const at = Math.max(now, this.nextAt);
    this.nextAt = at + MINUTE_MS / this.perMinute;
    await this.clock.sleep(at - now, signal);
  }
}
