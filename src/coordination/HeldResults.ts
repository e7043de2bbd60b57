import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';

/** Results that expire within this time are not handed over. */
const MIN_LIFE_MS = 300;

interface IHeldResult {
  readonly record: batching.IResultRecord;
  readonly expires: commonTypes.Millis;
}

interface IHeldPlan {
  readonly session: number;
  readonly results: IHeldResult[];
}

/**
 * Tracks the results that a coordinator produced for the plans of this VM, so that a successor can continue with them.
 */
export class HeldResults {
  private readonly plans = new Map<string, IHeldPlan>();

  /** Creates a tracker without plans; `clock` measures the remaining life of results. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Starts tracking a plan that was requested in `session`; `records` are results of the plan that it replaces. */
  track(planId: string, session: number, records: readonly batching.IResultRecord[]): void {
    this.plans.set(planId, { session, results: [] });
    records.forEach((record) => this.add(planId, record));
  }

  /** Adds a result of a plan; ignored when the plan is not tracked. */
  add(planId: string, record: batching.IResultRecord): void {
    const expires = this.clock.monotonic() + record.life;
    this.plans.get(planId)?.results.push({ record, expires });
  }

  /** Results of a plan that do not expire within `MIN_LIFE_MS`, with their remaining life in whole milliseconds. */
  resultsOf(planId: string): readonly batching.IResultRecord[] {
    const now = this.clock.monotonic();
    const results = this.plans.get(planId)?.results ?? [];
    return results
      .filter(({ expires }) => expires - now >= MIN_LIFE_MS)
      .map(({ record, expires }) => ({ ...record, life: Math.floor(expires - now) }));
  }

  /** Whether a tracked plan was requested in `session`. */
  belongsTo(planId: string, session: number): boolean {
    return this.plans.get(planId)?.session === session;
  }

  /** Stops tracking a plan that has ended or whose results another plan has taken over. */
  forget(planId: string): void {
    this.plans.delete(planId);
  }
}
