import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Outcomes older than this are no longer considered: a burst is over within seconds. */
const MAX_AGE_MS = 3000;
/** Number of outcomes considered for each kind of request; the oldest are dropped. */
const MAX_OUTCOMES = 64;
/** Fewer outcomes say nothing. */
const MIN_OUTCOMES = 5;
/** Share of outcomes within the goal from which the estimate counts as too high. */
const TOO_HIGH_SHARE = 0.9;
/** Number of kinds of requests that are told apart; the oldest one is dropped. */
const MAX_KINDS = 200;

interface IOutcome {
  readonly at: commonTypes.Millis;
  readonly isInTime: boolean;
}

interface IKind {
  /** Times at which the goals of the requests without an outcome end, by plan id. */
  readonly open: Map<string, commonTypes.Millis>;
  outcomes: readonly IOutcome[];
}

/**
 * Compares the estimates of admitted requests with what then happened. Considers requests whose estimate was near the end
 * of their goal or after it: if most of them meet the goal all the same, the estimate is too high, and the next ones may be
 * admitted behind more work. A request that is past its goal counts at once, before its end. Requests of one kind have the
 * same priority, engines and chain of stages.
 */
export class AdmissionOutcomes {
  private readonly kinds = new Map<string, IKind>();

  /** Starts without outcomes. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Whether the estimates of such requests turned out too high in the last seconds. */
  areEstimatesHigh(req: types.IPlanRequest): boolean {
    const kind = this.kinds.get(kindOf(req));
    if (kind === undefined) {
      return false;
    }
    const now = this.clock.monotonic();
    const recent = kind.outcomes.filter(({ at }) => at >= now - MAX_AGE_MS);
    const inTime = recent.filter(({ isInTime }) => isInTime).length;
    const overdue = [...kind.open.values()].filter((goalAt) => goalAt < now).length;
    const count = recent.length + overdue;
    return count >= MIN_OUTCOMES && inTime >= count * TOO_HIGH_SHARE;
  }

  /** Records that a request was admitted whose estimate is near the end of its goal or after it. */
  recordAdmitted(req: types.IPlanRequest): void {
    const key = kindOf(req);
    const kind = this.kinds.get(key) ?? { open: new Map<string, number>(), outcomes: [] };
    this.kinds.delete(key);
    this.kinds.set(key, kind);
    kind.open.set(req.planId, this.clock.monotonic() + req.goalLeft);
    const [oldest] = this.kinds.keys();
    if (this.kinds.size > MAX_KINDS && oldest !== undefined) {
      this.kinds.delete(oldest);
    }
  }

  /** Records that an engine has begun to answer a request, or that its stages were given up; others are ignored. */
  recordOutcome(req: types.IPlanRequest, outcome: 'begun' | 'given-up'): void {
    const kind = this.kinds.get(kindOf(req));
    const goalAt = kind?.open.get(req.planId);
    if (kind !== undefined && goalAt !== undefined) {
      kind.open.delete(req.planId);
      const at = this.clock.monotonic();
      const isInTime = outcome === 'begun' && at <= goalAt;
      kind.outcomes = [...kind.outcomes.slice(1 - MAX_OUTCOMES), { at, isInTime }];
    }
  }

  /** Forgets a request that ended without an outcome. */
  forget(req: types.IPlanRequest): void {
    this.kinds.get(kindOf(req))?.open.delete(req.planId);
  }
}

/** Identifies the kind of a request. */
function kindOf({ priority, service, stages }: types.IPlanRequest): string {
  return `${priority}/${service}/${stages.map((stage) => stage.service).join('>')}`;
}
