import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryTypes from '../Types.js';
import type * as latencyTable from './LatencyTable.js';

/** Work assumed of a stage before any was seen, milliseconds. */
const UNKNOWN_WORK_MS = 50;
/** Part of the time at hand beyond which a learnt tail no longer holds a start back. */
const MAX_TAIL_PART = 0.7;

/** The key of single attempts of a stage. */
export function attemptKey(ref: entryTypes.IStageRef): string {
  return `attempt/${ref.target}/${ref.stage}`;
}

/** The key of whole stages, waiting and retries included. */
export function stageKey(ref: entryTypes.IStageRef): string {
  return `stage/${ref.target}/${ref.stage}`;
}

/** Moments and spans of one stage of one request. */
export interface IStagePlan {
  /** Key of its attempts. */
  readonly key: string;
  /** Moment by which the stage must end, monotonic milliseconds. */
  readonly end: commonTypes.Millis;
  /** What admission is told. */
  readonly work: entryTypes.IStageWork;
  /** Usual latency of an attempt; undefined before enough were seen. */
  readonly usual: commonTypes.Millis | undefined;
  /** Time after which an attempt is slow; undefined before enough were seen. */
  readonly slowAfter: commonTypes.Millis | undefined;
  /** Time after which a hedge may start; undefined before enough was seen. */
  readonly hedgeAfter: commonTypes.Millis | undefined;
}

/** Splits a deadline over stages by learnt latencies. */
export class StageTimes {
  /** Learns into `latencies`. */
  constructor(
    private readonly options: decisionOptions.IDecisionOptions,
    private readonly clock: commonTypes.IClock,
    private readonly latencies: latencyTable.LatencyTable,
  ) {}

  /** The plan of a stage that starts now. */
  plan(call: entryTypes.IStageCall, ctx: entryTypes.IRequestContext): IStagePlan {
    const ref = { target: ctx.target, stage: call.stage };
    const key = attemptKey(ref);
    const end = ctx.deadline - this.total(call.following, this.options.deadline.reserveQuantile);
    const usual = this.latencies.quantile(key, 0.5);
    const slowAfter = this.slowAfter(key, usual);
    const hedgeAfter = slowAfter === undefined ? undefined : this.hedgeAfter(key, usual, end);
    return { key, end, work: this.work(ref, end), usual, slowAfter, hedgeAfter };
  }

  /** What admission is told of a stage that must end by `end`. */
  work(ref: entryTypes.IStageRef, end: commonTypes.Millis): entryTypes.IStageWork {
    const key = attemptKey(ref);
    const usual = this.latencies.quantile(key, 0.5);
    const tail = this.latencies.quantile(key, this.options.deadline.startQuantile) ?? 0;
    const spare = end - this.clock.monotonic();
    const needed = Math.min(tail, Math.max(usual ?? 0, spare * MAX_TAIL_PART));
    return { key, expected: usual ?? UNKNOWN_WORK_MS, latestStart: end - needed };
  }

  /** Sum of the stages' latencies at a quantile, waiting included; stages not seen yet count nothing. */
  total(stages: readonly entryTypes.IStageRef[], quantile: number): commonTypes.Millis {
    return stages.reduce(
      (sum, ref) => sum + (this.latencies.quantile(stageKey(ref), quantile) ?? 0),
      0,
    );
  }

  /** A whole stage ended well. */
  recordStage(ref: entryTypes.IStageRef, latency: commonTypes.Millis): void {
    this.latencies.record(stageKey(ref), latency);
  }

  /** An attempt ended well, or had taken so long when it was given up. */
  recordAttempt(key: string, latency: commonTypes.Millis): void {
    this.latencies.record(key, latency);
  }

  /** Time after which an attempt is slow: a learnt tail within bounds; undefined before enough were seen. */
  private slowAfter(
    key: string,
    usual: commonTypes.Millis | undefined,
  ): commonTypes.Millis | undefined {
    const { hedgeQuantile, hedgeMinMedians, hedgeMaxMedians, hedgeMinSamples } = this.options.retry;
    const tail = this.latencies.quantile(key, hedgeQuantile);
    if (usual === undefined || tail === undefined) {
      return undefined;
    }
    if (this.latencies.samples(key) < hedgeMinSamples) {
      return undefined;
    }
    return Math.min(Math.max(tail, usual * hedgeMinMedians), usual * hedgeMaxMedians);
  }

  /**
   * A hedge waits until little more is left than a fresh attempt takes, since an answer in time is enough.
   * The learnt tail holds what stragglers took, so it is bounded by medians.
   */
  private hedgeAfter(
    key: string,
    usual: commonTypes.Millis | undefined,
    end: commonTypes.Millis,
  ): commonTypes.Millis | undefined {
    const { hedgeMinMedians, hedgeRemainingTails, hedgeRemainingMedians } = this.options.retry;
    const tail = this.latencies.quantile(key, this.options.deadline.startQuantile);
    if (usual === undefined || tail === undefined) {
      return undefined;
    }
    const needed = Math.min(tail * hedgeRemainingTails, usual * hedgeRemainingMedians);
    return Math.max(usual * hedgeMinMedians, end - this.clock.monotonic() - needed);
  }
}
