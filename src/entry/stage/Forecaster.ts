import * as lruCache from 'lru-cache';
import type * as refusals from '../../common/Refusals.js';
import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as admission from '../limits/Admission.js';
import type * as entryTypes from '../Types.js';
import * as stageTimes from './StageTimes.js';

const MAX_STAGES = 2_000;
/** Quantile of the stage latencies whose sum must fit: the median, which half of the requests stay below. */
const FORECAST_QUANTILE = 0.5;

/** Estimates, before any stage runs, whether a request can meet its deadline. */
export class Forecaster {
  /** Name of the pool in which each stage ran last, by stage key. */
  private readonly poolOfStage = new lruCache.LRUCache<string, string>({ max: MAX_STAGES });

  private unreachableCount = 0;

  /** Uses the recorded latencies in `times` and the queues in `admission`. */
  constructor(
    private readonly options: decisionOptions.IDeadlineOptions,
    private readonly limits: decisionOptions.ILimitOptions,
    private readonly clock: commonTypes.IClock,
    private readonly times: stageTimes.StageTimes,
    private readonly admission: admission.Admission,
  ) {}

  /** Records the pool in which a stage runs. */
  recordPool(ref: entryTypes.IStageRef, pool: string): void {
    this.poolOfStage.set(stageTimes.stageKey(ref), pool);
  }

  /** Returns why the request is expected to miss its deadline, or undefined when it may meet it. */
  forecast(
    stages: readonly entryTypes.IStageRef[],
    ctx: entryTypes.IRequestContext,
  ): refusals.RefusalCode | undefined {
    const timeLeft = ctx.deadline - this.clock.monotonic();
    if (timeLeft <= 0) {
      return 'deadline-past';
    }
    if (this.times.totalLatency(stages, FORECAST_QUANTILE) > timeLeft && !this.shouldProbe()) {
      return 'deadline-unreachable';
    }
    return this.isLaterQueueTooLong(stages, ctx, timeLeft) ? 'shed' : undefined;
  }

  /** Admits one in `requestsPerProbe` unreachable requests, to sample whether the estimate still holds. */
  shouldProbe(): boolean {
    this.unreachableCount += 1;
    return this.unreachableCount % this.options.requestsPerProbe === 0;
  }

  /** Whether the queue of a later stage alone uses up the time left, which would waste the work of earlier ones. */
  private isLaterQueueTooLong(
    stages: readonly entryTypes.IStageRef[],
    ctx: entryTypes.IRequestContext,
    timeLeft: commonTypes.Millis,
  ): boolean {
    return stages.some((ref, index) => {
      const pool = this.admission.findPool(this.poolOfStage.get(stageTimes.stageKey(ref)) ?? '');
      if (!pool || index === 0) {
        return false;
      }
      const followingLatency = this.times.totalLatency(stages.slice(index + 1), FORECAST_QUANTILE);
      const work = this.times.estimateWork(ref, ctx.deadline - followingLatency);
      const startSlack = work.latestStart - this.clock.monotonic();
      const { laterStageQueueWaitRatio, queueWaitRatio } = this.limits;
      const maxWaitRatio =
        ctx.kind.patience === 'patient' ? queueWaitRatio : laterStageQueueWaitRatio;
      return pool.estimateWait(ctx, work) > Math.min(timeLeft, startSlack) * maxWaitRatio;
    });
  }
}
