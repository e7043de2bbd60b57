import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';

/** Weight of a new observation in a moving average. */
const SMOOTHING_RATIO = 0.06;
/** Length of a window in which throughput is measured; a window ends early when the queue is empty. */
const MEASUREMENT_WINDOW_MS = 1500;
/** Upper bound of the estimate, as a multiple of the measured throughput. */
const MEASURED_MARGIN_RATIO = 1.15;

/**
 * Estimates the throughput of a stage's endpoints in items per millisecond. The estimate is the lowest of three
 * bounds: the cost of calls, the room for results, and the throughput measured while items are queued.
 */
export class StageThroughput {
  private averageHoldTime: commonTypes.Millis;

  private averageResultBytes = 0;

  /** Start of the current measurement window; undefined while the queue is empty. */
  private windowStart: commonTypes.Millis | undefined;

  private completedInWindow = 0;

  private measuredThroughput: number | undefined;

  /** Starts from the declared cost of a call, without measurements. */
  constructor(
    private readonly clock: commonTypes.IClock,
    { callCost }: routing.IBatchLimits,
  ) {
    this.averageHoldTime = 2 * callCost;
  }

  /**
   * Estimated items per millisecond; `slowdowns` holds one factor per usable endpoint, 1 at the declared
   * speed.
   */
  estimate(slowdowns: readonly number[], limits: routing.IBatchLimits): number {
    const { resultCapacityBytes } = limits;
    const callBound = callThroughput(slowdowns, limits);
    const byteMsPerItem = this.averageResultBytes * Math.max(1, this.averageHoldTime);
    const roomBound = (slowdowns.length * resultCapacityBytes) / Math.max(1, byteMsPerItem);
    return Math.min(
      callBound,
      roomBound,
      (this.measuredThroughput ?? Number.POSITIVE_INFINITY) * MEASURED_MARGIN_RATIO,
    );
  }

  /** Records the mean result size of a call that starts. */
  recordResultBytes(meanBytes: number): void {
    this.averageResultBytes += SMOOTHING_RATIO * (meanBytes - this.averageResultBytes);
  }

  /** Records the time from the start of a call to the release of its result, in milliseconds. */
  recordHoldTime(time: commonTypes.Millis): void {
    this.averageHoldTime += SMOOTHING_RATIO * (time - this.averageHoldTime);
  }

  /**
   * Records completed items: measures the throughput while items are queued, and discards the measurement once
   * the queue is empty.
   */
  recordCompletions(completed: number, hasQueuedItems: boolean): void {
    const now = this.clock.monotonic();
    if (!hasQueuedItems) {
      this.windowStart = undefined;
      this.measuredThroughput = undefined;
      return;
    }
    if (this.windowStart === undefined) {
      this.windowStart = now;
      this.completedInWindow = 0;
      return;
    }
    this.completedInWindow += completed;
    const elapsed = now - this.windowStart;
    if (elapsed >= MEASUREMENT_WINDOW_MS) {
      this.measuredThroughput = Math.max(this.completedInWindow, 1) / elapsed;
      this.windowStart = now;
      this.completedInWindow = 0;
    }
  }
}

/**
 * Items per millisecond that full calls produce, whatever room their results need; `slowdowns` holds one factor per
 * usable endpoint, 1 at the declared speed.
 *
 * @example
 * const rate = callThroughput([1, 1, 1.2], service.batch);
 */
export function callThroughput(
  slowdowns: readonly number[],
  { callCost, itemCost, maxItemsPerCall }: routing.IBatchLimits,
): number {
  const totalSpeed = slowdowns.reduce((sum, slowdown) => sum + 1 / slowdown, 0);
  return (totalSpeed * maxItemsPerCall) / (callCost + itemCost * maxItemsPerCall);
}
