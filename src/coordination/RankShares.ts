import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Time constant of the counts. */
const TIME_CONSTANT_MS = 2000;
/** Number of admitted requests that every priority is credited with. */
const PRIOR_REQUESTS = 3;
/** Fewer refusals, decayed, say nothing of a priority. */
const MIN_REFUSED = 0.5;

interface ICounts {
  asked: number;
  admitted: number;
  updatedAt: commonTypes.Millis;
}

/**
 * Keeps the rank of requests that need the same stage: a priority is not admitted more often than a more urgent one
 * there. Answers overload in which more urgent requests are refused because they can't meet their goal, while less urgent
 * ones have time to wait. As shares are compared and not queues, less urgent requests are still admitted as often as
 * more urgent ones.
 */
export class RankShares {
  /** Counts by stage service and priority. */
  private readonly counts = new Map<string, Map<number, ICounts>>();

  /** Starts without requests. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /**
   * Returns the stage service at which a more urgent priority is admitted less often than this request's would be; undefined if
   * there is none. `services` are the stage services that the request needs.
   */
  outrankedAt(req: types.IPlanRequest, services: readonly string[]): string | undefined {
    return services.find((service) => {
      const byPriority = this.counts.get(service) ?? new Map<number, ICounts>();
      byPriority.forEach((counts) => this.decay(counts));
      const own = byPriority.get(req.priority);
      const ownShare = this.shareOf(own, 1);
      return [...byPriority].some(
        ([priority, counts]) =>
          priority < req.priority &&
          counts.asked - counts.admitted >= MIN_REFUSED &&
          this.shareOf(counts, 0) < ownShare,
      );
    });
  }

  /**
   * Counts a request at `services`: those that it needs if it was admitted, else the one without time for it. Requests that
   * another stage has no time for say nothing about this one.
   */
  record(req: types.IPlanRequest, services: readonly string[], isAdmitted: boolean): void {
    services.forEach((service) => {
      const byPriority = this.counts.get(service) ?? new Map<number, ICounts>();
      this.counts.set(service, byPriority);
      const now = this.clock.monotonic();
      const counts = byPriority.get(req.priority) ?? { asked: 0, admitted: 0, updatedAt: now };
      byPriority.set(req.priority, counts);
      this.decay(counts);
      counts.asked += 1;
      counts.admitted += isAdmitted ? 1 : 0;
    });
  }

  /** Share of the requests that are admitted, if `more` of them were. */
  private shareOf(counts: ICounts | undefined, more: number): number {
    if (counts === undefined) {
      return 1;
    }
    this.decay(counts);
    const admitted = counts.admitted + more + PRIOR_REQUESTS;
    return admitted / (counts.asked + more + PRIOR_REQUESTS);
  }

  private decay(counts: ICounts): void {
    const now = this.clock.monotonic();
    const factor = Math.exp((counts.updatedAt - now) / TIME_CONSTANT_MS);
    Object.assign(counts, {
      asked: counts.asked * factor,
      admitted: counts.admitted * factor,
      updatedAt: now,
    });
  }
}
