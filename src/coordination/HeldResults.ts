import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';

/** Results whose life ends sooner are not worth handing over. */
const LEAST_LIFE_MS = 300;

interface IHeld {
  readonly record: batching.IResultRecord;
  readonly expires: commonTypes.Millis;
}

interface IHeldPlan {
  readonly session: number;
  readonly results: IHeld[];
}

/** Results that a coordinator made for the plans of this VM, so that its successor can go on with them. */
export class HeldResults {
  private readonly plans = new Map<string, IHeldPlan>();

  /** Knows of no plan. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** A plan was asked for in `session`; `records` are what an earlier plan had made. */
  track(planId: string, session: number, records: readonly batching.IResultRecord[]): void {
    this.plans.set(planId, { session, results: [] });
    records.forEach((record) => this.add(planId, record));
  }

  /** A result was made for a plan. */
  add(planId: string, record: batching.IResultRecord): void {
    const expires = this.clock.monotonic() + record.life;
    this.plans.get(planId)?.results.push({ record, expires });
  }

  /** Results of a plan that live on for a while, with the life that they have left. */
  resultsOf(planId: string): readonly batching.IResultRecord[] {
    const now = this.clock.monotonic();
    const results = this.plans.get(planId)?.results ?? [];
    return results
      .filter(({ expires }) => expires - now >= LEAST_LIFE_MS)
      .map(({ record, expires }) => ({ ...record, life: Math.floor(expires - now) }));
  }

  /** Whether a plan was asked for in `session`. */
  belongsTo(planId: string, session: number): boolean {
    return this.plans.get(planId)?.session === session;
  }

  /** The plan is over, or its results were given to another. */
  forget(planId: string): void {
    this.plans.delete(planId);
  }
}
