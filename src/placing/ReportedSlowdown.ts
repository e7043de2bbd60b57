import type * as commonTypes from '../common/Types.js';

/** Time in which a report loses two thirds of its meaning: slowdowns last for some hundred milliseconds. */
const MEMORY_MS = 200;
/** Weight of a new report beside what earlier ones made expect at the same moment. */
const REPORT_WEIGHT = 0.5;
/** Weight of a new report in the usual slowdown. */
const USUAL_WEIGHT = 0.03;

/**
 * How long work takes at an endpoint at this moment, by the slowdowns that it reports. They change many times a second, so
 * that a report counts for less the older it is, and the usual slowdown for more.
 *
 * @example
 * slowdown.record(2.5, clock.monotonic());
 * const factor = slowdown.at(clock.monotonic() + 100);
 */
export class ReportedSlowdown {
  private usual = 1;

  private latest = 1;

  private latestAt: commonTypes.Millis | undefined;

  /** Whether the endpoint has reported any. */
  get isKnown(): boolean {
    return this.latestAt !== undefined;
  }

  /** Expected slowdown at a time; 1 if none was reported. */
  at(now: commonTypes.Millis): number {
    if (this.latestAt === undefined) {
      return 1;
    }
    const weight = Math.exp(-Math.max(0, now - this.latestAt) / MEMORY_MS);
    return this.usual + weight * (this.latest - this.usual);
  }

  /** Records a report: 1 for work that takes as long as usual. */
  record(slowdown: number, now: commonTypes.Millis): void {
    const expected = this.at(now);
    this.latest = expected + REPORT_WEIGHT * (slowdown - expected);
    this.usual += USUAL_WEIGHT * (slowdown - this.usual);
    this.latestAt = now;
  }
}
