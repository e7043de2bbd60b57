import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryTypes from '../Types.js';
import type * as latencyTable from './LatencyTable.js';

/** Expected duration of a stage without latency samples, in milliseconds. */
const DEFAULT_EXPECTED_WORK_MS = 50;
/** Bound on the time reserved for tail latency, as a fraction of the time until the stage deadline. */
const MAX_TAIL_RATIO = 0.7;

/** Returns the latency key of single attempts of a stage. */
export function attemptKey(ref: entryTypes.IStageRef): string {
  return `attempt/${ref.target}/${ref.stage}`;
}

/** Returns the latency key of whole stages, which include queueing and retries. */
export function stageKey(ref: entryTypes.IStageRef): string {
  return `stage/${ref.target}/${ref.stage}`;
}

/** Deadline, expected work and time thresholds of one stage of one request. */
export interface IStagePlan {
  /** Latency key of the stage's attempts. */
  readonly key: string;
  /** Deadline of the stage in monotonic milliseconds: the request's, less a reserve for the following stages. */
  readonly stageDeadline: commonTypes.Millis;
  /** Expected work and latest start, for admission. */
  readonly work: entryTypes.IStageWork;
  /** Median latency of an attempt in milliseconds; undefined while there are too few samples. */
  readonly medianLatency: commonTypes.Millis | undefined;
  /** Milliseconds after which an attempt counts as slow; undefined while there are too few samples. */
  readonly slowAfter: commonTypes.Millis | undefined;
  /** Milliseconds after which a hedge may start; undefined while there are too few samples. */
  readonly hedgeAfter: commonTypes.Millis | undefined;
}

/** Divides a request's deadline among its stages according to recorded latencies. */
export class StageTimes {
  /** Records into and reads from `latencies`. */
  constructor(
    private readonly options: decisionOptions.IDecisionOptions,
    private readonly clock: commonTypes.IClock,
    private readonly latencies: latencyTable.LatencyTable,
  ) {}

  /** Returns the plan of a stage that starts now. */
  plan(call: entryTypes.IStageCall, ctx: entryTypes.IRequestContext): IStagePlan {
    const ref = { target: ctx.target, stage: call.stage };
    const key = attemptKey(ref);
    const stageDeadline =
      ctx.deadline - this.totalLatency(call.following, this.options.deadline.reserveQuantile);
    const medianLatency = this.latencies.quantile(key, 0.5);
    const slowAfter = this.slowAfter(key, medianLatency);
    const hedgeAfter =
      slowAfter === undefined ? undefined : this.hedgeAfter(key, medianLatency, stageDeadline);
    return {
      key,
      stageDeadline,
      work: this.estimateWork(ref, stageDeadline),
      medianLatency,
      slowAfter,
      hedgeAfter,
    };
  }

  /** Returns the expected work and latest start of a stage that must end by `stageDeadline`. */
  estimateWork(
    ref: entryTypes.IStageRef,
    stageDeadline: commonTypes.Millis,
  ): entryTypes.IStageWork {
    const key = attemptKey(ref);
    const medianLatency = this.latencies.quantile(key, 0.5);
    const tail = this.latencies.quantile(key, this.options.deadline.startQuantile) ?? 0;
    const timeLeft = stageDeadline - this.clock.monotonic();
    const startReserve = Math.min(tail, Math.max(medianLatency ?? 0, timeLeft * MAX_TAIL_RATIO));
    return {
      key,
      expected: medianLatency ?? DEFAULT_EXPECTED_WORK_MS,
      latestStart: stageDeadline - startReserve,
    };
  }

  /** Sum of the stage latencies at a quantile (0 to 1), queueing included; stages without samples count 0. */
  totalLatency(stages: readonly entryTypes.IStageRef[], quantile: number): commonTypes.Millis {
    return stages.reduce(
      (sum, ref) => sum + (this.latencies.quantile(stageKey(ref), quantile) ?? 0),
      0,
    );
  }

  /** Records the latency of a whole stage that succeeded, in milliseconds. */
  recordStage(ref: entryTypes.IStageRef, latency: commonTypes.Millis): void {
    this.latencies.record(stageKey(ref), latency);
  }

  /** Records the latency of a successful attempt, or the elapsed time of one that timed out, in milliseconds. */
  recordAttempt(key: string, latency: commonTypes.Millis): void {
    this.latencies.record(key, latency);
  }

  /** Milliseconds after which an attempt counts as slow: a tail quantile, bounded by multiples of the median. */
  private slowAfter(
    key: string,
    medianLatency: commonTypes.Millis | undefined,
  ): commonTypes.Millis | undefined {
    const { hedgeQuantile, hedgeMinMedians, hedgeMaxMedians, hedgeMinSamples } = this.options.retry;
    const tail = this.latencies.quantile(key, hedgeQuantile);
    if (medianLatency === undefined || tail === undefined) {
      return undefined;
    }
    if (this.latencies.sampleCount(key) < hedgeMinSamples) {
      return undefined;
    }
    return Math.min(
      Math.max(tail, medianLatency * hedgeMinMedians),
      medianLatency * hedgeMaxMedians,
    );
  }

  /**
   * Delays a hedge until the time left is little more than a new attempt takes, since an answer before the
   * deadline is enough. The recorded tail includes stragglers, so the estimate is bounded by multiples of the
   * median.
   */
  private hedgeAfter(
    key: string,
    medianLatency: commonTypes.Millis | undefined,
    stageDeadline: commonTypes.Millis,
  ): commonTypes.Millis | undefined {
    const { hedgeMinMedians, hedgeRemainingTails, hedgeRemainingMedians } = this.options.retry;
    const tail = this.latencies.quantile(key, this.options.deadline.startQuantile);
    if (medianLatency === undefined || tail === undefined) {
      return undefined;
    }
    const hedgeReserve = Math.min(
      tail * hedgeRemainingTails,
      medianLatency * hedgeRemainingMedians,
    );
    return Math.max(
      medianLatency * hedgeMinMedians,
      stageDeadline - this.clock.monotonic() - hedgeReserve,
    );
  }
}
