import type * as commonTypes from '../common/Types.js';
import * as lateAnswers from './LateAnswers.js';
import * as ratioHistogram from './RatioHistogram.js';
import type * as types from './Types.js';
import * as workBudget from './WorkBudget.js';

/** Quantile of the time to an answer, for the work ahead of it, after which an answer counts as late. */
const LATE_QUANTILE = 0.95;
/** Period after which earlier answers no longer count. */
const ANSWER_PERIOD_MS = 10_000;
/** Answers without which no quantile is known. */
const MIN_ANSWERS = 40;
/** Work that every attempt takes beside its own, relative to the mean: connections, scheduling, the first step. */
const FIXED_WORK_RATIO = 0.25;
/** Occupancy above which a hedge would take room from first attempts. */
const MAX_OCCUPANCY = 0.75;
/** Ratio of late answers above which they have a common cause, such as a burst; one in twenty is late by definition. */
const MAX_LATE_RATIO = 0.2;

interface IServiceState {
  /** Times to an answer, in milliseconds for each unit of work ahead. */
  readonly times: ratioHistogram.RatioHistogram;
  readonly budget: workBudget.WorkBudget;
  readonly late: lateAnswers.LateAnswers;
}

/**
 * Starts a hedge when an answer is later than 19 of 20 for the work ahead of it. Answers single slow endpoints and
 * pauses of one: where all endpoints are slow, or full, hedges fade to none.
 */
export class HedgePolicy implements types.IHedgePolicy {
  private readonly services = new Map<string, IServiceState>();

  /** Knows no answers yet. */
  constructor(
    private readonly limits: types.IHedgeLimits,
    private readonly clock: commonTypes.IClock,
  ) {}

  /** @inheritdoc */
  delayFor(attempt: types.IFirstAttempt): commonTypes.Millis | undefined {
    const state = this.stateOf(attempt.service);
    const rate = state.times.quantile(LATE_QUANTILE);
    return rate === undefined || state.times.count < MIN_ANSWERS
      ? undefined
      : rate * HedgePolicy.allWork(attempt, state);
  }

  /** @inheritdoc */
  recordFirst(attempt: types.IFirstAttempt): void {
    const state = this.stateOf(attempt.service);
    state.budget.recordFirst(attempt.work);
    state.late.recordFirst(attempt.availabilityZone);
  }

  /** @inheritdoc */
  recordAnswer(attempt: types.IFirstAttempt, took: commonTypes.Millis): void {
    const state = this.stateOf(attempt.service);
    state.times.record(took / Math.max(1, HedgePolicy.allWork(attempt, state)));
  }

  /** @inheritdoc */
  request(attempt: types.IFirstAttempt, load: types.IServiceLoad): types.HedgeVerdict {
    const { late, budget } = this.stateOf(attempt.service);
    late.recordLate(attempt.availabilityZone);
    if (load.occupancy > MAX_OCCUPANCY) {
      return 'no-room';
    }
    if (late.ratio > MAX_LATE_RATIO) {
      return 'all-slow';
    }
    return budget.take(attempt.work) ? 'granted' : 'over-limit';
  }

  /** @inheritdoc */
  isZoneLate(service: string, availabilityZone: string): boolean {
    return this.stateOf(service).late.isMostlyIn(availabilityZone);
  }

  private static allWork({ workAhead }: types.IFirstAttempt, { budget }: IServiceState): number {
    return workAhead + budget.meanWork * FIXED_WORK_RATIO;
  }

  private stateOf(service: string): IServiceState {
    const present = this.services.get(service);
    if (present !== undefined) {
      return present;
    }
    const state: IServiceState = {
      times: new ratioHistogram.RatioHistogram(this.clock, ANSWER_PERIOD_MS),
      budget: new workBudget.WorkBudget(this.limits),
      late: new lateAnswers.LateAnswers(this.clock),
    };
    this.services.set(service, state);
    return state;
  }
}
