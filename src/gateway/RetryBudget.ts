import type * as commonTypes from '../common/Types.js';

/** What all entry VMs together may send again. */
export interface IRetryLimits {
  /** Share of the requests of a window. */
  readonly ratio: number;
  readonly window: commonTypes.Millis;
  /** Sendings beyond the share, over all VMs. */
  readonly slack: number;
}

/** Part of the limits that is used; the rest covers VMs that join or restart with a full budget. */
const USED_SHARE = 0.6;

/** Bounds how often this VM sends a request again: its part of a budget that all entry VMs share. */
export class RetryBudget {
  private windowStart: commonTypes.Millis;

  private requests = 0;

  private previous = 0;

  private spent = 0;

  /** `entries` tells how many entry VMs share the limits. */
  constructor(
    private readonly limits: IRetryLimits,
    private readonly clock: commonTypes.IClock,
    private readonly entries: () => number,
  ) {
    this.windowStart = clock.monotonic();
  }

  /** Notes a request's first sending. */
  recordRequest(): void {
    this.turn();
    this.requests += 1;
  }

  /** Takes one sending from the budget; false when none is left. */
  take(): boolean {
    this.turn();
    const { ratio, slack } = this.limits;
    const base = Math.min(this.requests + 1, this.previous + this.requests);
    const allowed = USED_SHARE * (ratio * base + slack / this.entries());
    if (this.spent + 1 > allowed) {
      return false;
    }
    this.spent += 1;
    return true;
  }

  private turn(): void {
    const now = this.clock.monotonic();
    if (now - this.windowStart >= this.limits.window) {
      this.windowStart = now;
      this.previous = this.requests;
      this.requests = 0;
      this.spent = 0;
    }
  }
}
