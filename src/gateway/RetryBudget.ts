import type * as commonTypes from '../common/Types.js';

/** Limits on the retries of all entry VMs together. */
export interface IRetryLimits {
  /** Retries per request of a window. */
  readonly ratio: number;
  /** Length of a window. */
  readonly window: commonTypes.Millis;
  /** Retries per window in addition to the ratio, over all VMs. */
  readonly slack: number;
}

/** Fraction of the limits that the VMs use; the rest covers VMs that join or restart with a full budget. */
const USABLE_RATIO = 0.6;

/**
 * Limits the retries of this VM to its part of a retry budget that all entry VMs share. Budget that is not spent in
 * a window expires with it.
 */
export class RetryBudget {
  private windowStart: commonTypes.Millis;

  private requests = 0;

  private previousRequests = 0;

  private spent = 0;

  /** `entryVmCount` returns the number of entry VMs that share the limits. */
  constructor(
    private readonly limits: IRetryLimits,
    private readonly clock: commonTypes.IClock,
    private readonly entryVmCount: () => number,
  ) {
    this.windowStart = clock.monotonic();
  }

  /** Counts a new request, which adds to the budget. */
  recordRequest(): void {
    this.rollWindow();
    this.requests += 1;
  }

  /** Takes one retry from the budget; returns false, and takes nothing, if the budget of the window is spent. */
  take(): boolean {
    this.rollWindow();
    const { ratio, slack } = this.limits;
    const base = Math.min(this.requests + 1, this.previousRequests + this.requests);
    const allowed = USABLE_RATIO * (ratio * base + slack / this.entryVmCount());
    if (this.spent + 1 > allowed) {
      return false;
    }
    this.spent += 1;
    return true;
  }

  private rollWindow(): void {
    const now = this.clock.monotonic();
    if (now - this.windowStart >= this.limits.window) {
      this.windowStart = now;
      this.previousRequests = this.requests;
      this.requests = 0;
      this.spent = 0;
    }
  }
}
