import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Time constant of the counts. */
const TIME_CONSTANT_MS = 2000;
/** Number of admitted requests that every priority is credited with. */
const PRIOR_REQUESTS = 3;
/** Fewer refusals, decayed, say nothing of a priority. */
const MIN_REFUSED = 0.5;
/** Admissions that a priority may have earned without using them. */
const MAX_EARNED = 2;

/** Number of refused requests that are recognized when they come back; the oldest are dropped. */
const MAX_REFUSED = 5000;

interface ICounts {
  admitted: number;
  /** Requests for which this stage had no time. */
  refused: number;
  updatedAt: commonTypes.Millis;
}

/**
 * Keeps the rank of requests that need the same stage: a priority is not admitted more often than a more urgent one
 * that is refused there. Answers overload in which more urgent requests are refused because they can't meet their goal, while
 * less urgent ones have time to wait. Each request earns its priority the share in which the more urgent one is admitted, and
 * an admission costs one, so that rare requests are admitted as often as frequent ones. A request that comes back after a
 * refusal earns nothing, so that time to come back does not make up for rank.
 */
export class RankShares {
  /** Counts by stage service and priority. */
  private readonly counts = new Map<string, Map<number, ICounts>>();

  /** Admissions earned, by priority and stage services. */
  private readonly earned = new Map<string, number>();

  /** Fingerprints of refused requests, the latest last. */
  private readonly refused = new Set<string>();

  /** Starts without requests. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /**
   * Returns the stage service that refuses most requests of a more urgent priority, if this request's would be admitted more
   * often than that; undefined otherwise. `services` are the stage services that the request needs.
   */
  outrankedAt({ priority }: types.IPlanRequest, services: readonly string[]): string | undefined {
    const { share, refusedAt } = this.lowestShareBefore(priority, services);
    const earned = this.earned.get(keyOf(priority, services)) ?? 0;
    return earned + share < 1 ? refusedAt : undefined;
  }

  /** Counts a request that needs `services`; `refusedAt` is the one that had no time for it, undefined if it was admitted. */
  record(
    req: types.IPlanRequest,
    services: readonly string[],
    refusedAt: string | undefined,
  ): void {
    const { priority, fingerprint } = req;
    const cost = refusedAt === undefined ? 1 : 0;
    const earned = Math.max(0, this.earnedBy(req, services) - cost);
    this.earned.set(keyOf(priority, services), earned);
    if (refusedAt !== undefined && fingerprint !== undefined) {
      this.remember(fingerprint);
    }
    services.forEach((service) => {
      const counts = this.countsOf(service, priority);
      counts.admitted += refusedAt === undefined ? 1 : 0;
      counts.refused += refusedAt === service ? 1 : 0;
    });
  }

  /** Admissions that the priority of a request has earned, with those that the request earns. */
  private earnedBy(req: types.IPlanRequest, services: readonly string[]): number {
    const { priority, fingerprint = '' } = req;
    const { share } = this.lowestShareBefore(priority, services);
    const earns = share < 1 && this.refused.has(fingerprint) ? 0 : share;
    return Math.min(MAX_EARNED, (this.earned.get(keyOf(priority, services)) ?? 0) + earns);
  }

  private remember(fingerprint: string): void {
    this.refused.delete(fingerprint);
    this.refused.add(fingerprint);
    const [oldest] = this.refused;
    if (this.refused.size > MAX_REFUSED && oldest !== undefined) {
      this.refused.delete(oldest);
    }
  }

  /**
   * Lowest share in which a more urgent priority is admitted at `services`, where each of its requests is refused by one of them
   * at most; 1 if none is refused.
   */
  private lowestShareBefore(
    priority: number,
    services: readonly string[],
  ): { readonly share: number; readonly refusedAt: string | undefined } {
    const others = new Set(
      services.flatMap((service) => [...(this.counts.get(service)?.keys() ?? [])]),
    );
    const shares = [...others]
      .filter((other) => other < priority)
      .map((other) => this.shareOf(other, services))
      .sort((a, b) => a.share - b.share);
    return shares[0] ?? { share: 1, refusedAt: undefined };
  }

  private shareOf(
    priority: number,
    services: readonly string[],
  ): { readonly share: number; readonly refusedAt: string | undefined } {
    const byService = services
      .map((service) => ({ service, ...this.countsOf(service, priority) }))
      .sort((a, b) => b.refused - a.refused);
    const refused = byService.reduce((sum, counts) => sum + counts.refused, 0);
    const admitted = Math.max(...byService.map((counts) => counts.admitted)) + PRIOR_REQUESTS;
    return refused < MIN_REFUSED
      ? { share: 1, refusedAt: undefined }
      : { share: admitted / (admitted + refused), refusedAt: byService[0]?.service };
  }

  /** Counts of a priority at a stage service, decayed until now. */
  private countsOf(service: string, priority: number): ICounts {
    const byPriority = this.counts.get(service) ?? new Map<number, ICounts>();
    this.counts.set(service, byPriority);
    const now = this.clock.monotonic();
    const counts = byPriority.get(priority) ?? { admitted: 0, refused: 0, updatedAt: now };
    byPriority.set(priority, counts);
    const factor = Math.exp((counts.updatedAt - now) / TIME_CONSTANT_MS);
    return Object.assign(counts, {
      admitted: counts.admitted * factor,
      refused: counts.refused * factor,
      updatedAt: now,
    });
  }
}

function keyOf(priority: number, services: readonly string[]): string {
  return `${priority}/${services.join('>')}`;
}
