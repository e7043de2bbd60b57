import * as stageEstimate from '../batching/StageEstimate.js';
import type * as stageScheduler from '../batching/StageScheduler.js';
import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import * as enginePlacer from '../placing/EnginePlacer.js';
import type * as routing from '../routing/Types.js';
import type * as admissionOutcomes from './AdmissionOutcomes.js';
import type * as rankShares from './RankShares.js';
import type * as types from './Types.js';

/** Minimum `retryAfter` of a refusal. */
export const MIN_RETRY_AFTER_MS = 150;
/**
 * Ratio of `retryAfter` to the time left until the deadline for a request refused as overloaded: most bursts end
 * within this time, and enough time is left for a second attempt.
 */
const RETRY_AFTER_DEADLINE_RATIO = 0.3;
/**
 * A request that will miss its goal is admitted if all queued work, and then the request itself, is done within this
 * ratio of the time left until its deadline.
 */
const LATE_ADMISSION_DEADLINE_RATIO = 0.3;
/**
 * The same while estimates turn out too high for requests of its kind: within this ratio of its goal, but also within this
 * ratio of the time left until its deadline.
 */
const HIGH_GOAL_RATIO = 1.7;
const HIGH_DEADLINE_RATIO = 0.4;
/** Requests that are expected to take more than this ratio of their goal show whether the estimate is right. */
const TIGHT_GOAL_RATIO = 0.85;
/**
 * Longest wait for an engine with a rate limit that is planned for a request with complete stages, whose results hold
 * room meanwhile.
 */
const MAX_ENGINE_WAIT_MS = 2000;

/** Estimate of the time that the stages of a request take, at its arrival. */
export interface IWaitEstimate {
  /** Time of the calls of all stages that are left. */
  readonly stageTime: commonTypes.Millis;
  /** Time that the work which goes before delays the request. */
  readonly queueDelay: commonTypes.Millis;
  /** Stage service that delays it longest; undefined if none does. */
  readonly slowest: string | undefined;
  /** Time that all outstanding work delays the request, less urgent work too. */
  readonly delayOfAll: commonTypes.Millis;
  /** Whether the request is expected near the end of its goal or after it. */
  readonly isTight: boolean;
  /** Whether such estimates turned out too high for the requests of its kind in the last seconds. */
  readonly isHigh: boolean;
}

/** Decision on a request, and the estimate that it was made by. */
export interface IAdmissionDecision {
  /** Undefined if the request is admitted. */
  readonly refusal: types.IPlanRefused | undefined;
  readonly estimate: IWaitEstimate;
  /** Stage service at which more urgent requests were refused, for which this one is; undefined otherwise. */
  readonly outrankedAt: string | undefined;
}

/** State of a coordinator that decides on the admission of requests. */
export interface IPlanAdmissionDependencies {
  /** Returns the scheduler of a stage service; undefined for an unknown service. */
  readonly schedulerOf: (service: string) => stageScheduler.StageScheduler | undefined;
  /** Returns the placer of an engine service; undefined for an unknown service. */
  readonly placerOf: (service: string) => enginePlacer.EnginePlacer | undefined;
  /** Number of plans of a service, of this priority and more urgent ones, that have no engine yet. */
  readonly unplacedPlans: (service: string, priority: number) => number;
  readonly outcomes: admissionOutcomes.AdmissionOutcomes;
  readonly shares: rankShares.RankShares;
}

/** A stage of a request without all of its results. */
interface IMissingStage {
  readonly stage: routing.IStage;
  readonly at: number;
}

/**
 * Refuses a request for want of time, with a time to come back that leaves enough for a second attempt.
 *
 * @example
 * const { retryAfter } = refuseOverloaded(req); // milliseconds
 */
export function refuseOverloaded({
  deadlineLeft,
}: Pick<types.IPlanRequest, 'deadlineLeft'>): types.IPlanRefused {
  const retryAfter = Math.max(MIN_RETRY_AFTER_MS, deadlineLeft * RETRY_AFTER_DEADLINE_RATIO);
  return { kind: 'refused', reason: 'overloaded', retryAfter };
}

/**
 * Decides on its arrival whether a request can be served in time behind the work that goes before it. Answers bursts in
 * which stages have more work than time, and engines that all name a rate limit.
 */
export class PlanAdmission {
  /** Decides by the state that `deps` returns. */
  constructor(private readonly deps: IPlanAdmissionDependencies) {}

  /**
   * Decides on a request that arrives; one that can't be served in time is refused. `held` are the results of earlier
   * plans that it continues with.
   */
  decide(req: types.IPlanRequest, held: readonly batching.IResultRecord[]): IAdmissionDecision {
    const { schedulerOf } = this.deps;
    const missingStages = req.stages
      .map((stage, at) => ({ stage, at }))
      .filter(({ at }) => (req.pieces[at] ?? 0) > held.filter(({ stage }) => stage === at).length);
    const remainingTimes = missingStages
      .filter(({ stage }) => stage.after.length === 0)
      .map(({ at }) =>
        stageEstimate.estimateRemainingTime(req.stages, req.pieces, at, schedulerOf),
      );
    const stageTime = Math.max(0, ...remainingTimes);
    const delaysFor = (priority: number): readonly commonTypes.Millis[] =>
      missingStages.map(({ at }) => this.delayAt(req, at, priority, held.length > 0));
    const delays = delaysFor(req.priority);
    const queueDelay = Math.max(0, ...delays);
    const slowest =
      queueDelay > 0 ? missingStages[delays.indexOf(queueDelay)]?.stage.service : undefined;
    const estimate: IWaitEstimate = {
      stageTime,
      queueDelay,
      slowest,
      delayOfAll: Math.max(0, ...delaysFor(Number.POSITIVE_INFINITY)),
      isTight:
        stageTime + queueDelay + enginePlacer.EnginePlacer.typicalTimeToFirstToken >=
        req.goalLeft * TIGHT_GOAL_RATIO,
      isHigh: this.deps.outcomes.areEstimatesHigh(req),
    };
    const { refusal, outrankedAt } =
      missingStages.length === 0
        ? { refusal: undefined, outrankedAt: undefined }
        : this.checkStages(req, estimate, missingStages, held.length > 0);
    return {
      refusal: refusal ?? this.checkEngines(req, stageTime + queueDelay),
      estimate,
      outrankedAt,
    };
  }

  /**
   * Refuses a request that its stages can't serve in time, or whose turn is after more urgent ones that were refused; not
   * for the latter if it has results already.
   */
  private checkStages(
    req: types.IPlanRequest,
    estimate: IWaitEstimate,
    missingStages: readonly IMissingStage[],
    hasResults: boolean,
  ): Pick<IAdmissionDecision, 'refusal' | 'outrankedAt'> {
    const { shares } = this.deps;
    const services = [...new Set(missingStages.map(({ stage }) => stage.service))];
    const refusal = PlanAdmission.checkTime(req, estimate);
    if (refusal !== undefined) {
      if (refusal.reason === 'overloaded' && estimate.slowest !== undefined) {
        shares.record(req, services, estimate.slowest);
      }
      return { refusal, outrankedAt: undefined };
    }
    const outrankedAt = hasResults ? undefined : shares.outrankedAt(req, services);
    shares.record(req, services, outrankedAt);
    return {
      refusal: outrankedAt === undefined ? undefined : refuseOverloaded(req),
      outrankedAt,
    };
  }

  /**
   * Time that the outstanding items of a stage delay a request. Most of those items are still in earlier stages, as the
   * request is: a stage that keeps up completes them before the request reaches it.
   */
  private delayAt(
    { stages, pieces }: types.IPlanRequest,
    at: number,
    priority: number,
    hasResults: boolean,
  ): commonTypes.Millis {
    const { schedulerOf } = this.deps;
    const { service, resultBytes } = stages[at] as routing.IStage;
    const scheduler = schedulerOf(service);
    if (scheduler === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const arrival = hasResults ? 0 : stageEstimate.estimateArrival(stages, pieces, at, schedulerOf);
    const completedBefore = arrival * (1 - scheduler.backlogRatio(priority));
    return Math.max(0, scheduler.demandDelay(priority, resultBytes) - completedBefore);
  }

  private static checkTime(
    req: types.IPlanRequest,
    { stageTime, queueDelay, delayOfAll, isHigh }: IWaitEstimate,
  ): types.IPlanRefused | undefined {
    const remaining = stageTime + enginePlacer.EnginePlacer.typicalTimeToFirstToken;
    if (remaining > req.deadlineLeft) {
      return { kind: 'refused', reason: 'too-late', retryAfter: MIN_RETRY_AFTER_MS };
    }
    const meetsGoal = queueDelay + remaining <= req.goalLeft;
    if (meetsGoal || delayOfAll + remaining <= PlanAdmission.maxLateTime(req, isHigh)) {
      return undefined;
    }
    return refuseOverloaded(req);
  }

  /** Time within which all queued work and then the request must be done for it to be admitted although it will be late. */
  private static maxLateTime(
    { goalLeft, deadlineLeft }: types.IPlanRequest,
    isHigh: boolean,
  ): commonTypes.Millis {
    const usual = deadlineLeft * LATE_ADMISSION_DEADLINE_RATIO;
    const widest = Math.min(goalLeft * HIGH_GOAL_RATIO, deadlineLeft * HIGH_DEADLINE_RATIO);
    return isHigh ? Math.max(usual, widest) : usual;
  }

  /** Refuses a request for which the rate limits of all engines leave no room once its stages are complete. */
  private checkEngines(
    req: types.IPlanRequest,
    stagesDoneIn: commonTypes.Millis,
  ): types.IPlanRefused | undefined {
    const placer = this.deps.placerOf(req.service);
    const rate = placer?.rateLimit;
    if (placer === undefined || rate === undefined) {
      return undefined;
    }
    const before = this.deps.unplacedPlans(req.service, req.priority);
    const placedIn = placer.limitDelay({ avoid: [] }) + (before / rate) * 1000;
    const timeLeft = Math.max(req.goalLeft, req.deadlineLeft * LATE_ADMISSION_DEADLINE_RATIO);
    const maxWait = Math.min(MAX_ENGINE_WAIT_MS, timeLeft - stagesDoneIn);
    const excess = placedIn - stagesDoneIn - maxWait;
    return excess <= 0
      ? undefined
      : {
          kind: 'refused',
          reason: 'overloaded',
          retryAfter: Math.max(MIN_RETRY_AFTER_MS, excess),
        };
  }
}
