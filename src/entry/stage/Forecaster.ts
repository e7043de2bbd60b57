import * as lruCache from 'lru-cache';
import type * as refusals from '../../common/Refusals.js';
import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as admission from '../limits/Admission.js';
import type * as entryTypes from '../Types.js';
import * as stageTimes from './StageTimes.js';

const MAX_STAGES = 2_000;
/** Quantile of each stage that must fit: half of the requests like this one took less. */
const HOPELESS_QUANTILE = 0.5;

/** Says before any work whether a request can be answered in time. */
export class Forecaster {
  /** Pools in which stages were seen to run, by stage key. */
  private readonly pools = new lruCache.LRUCache<string, string>({ max: MAX_STAGES });

  private hopeless = 0;

  /** Reads learnt times and the queues of the pools. */
  constructor(
    private readonly options: decisionOptions.IDeadlineOptions,
    private readonly limits: decisionOptions.ILimitOptions,
    private readonly clock: commonTypes.IClock,
    private readonly times: stageTimes.StageTimes,
    private readonly admission: admission.Admission,
  ) {}

  /** A stage runs in this pool. */
  learn(ref: entryTypes.IStageRef, pool: string): void {
    this.pools.set(stageTimes.stageKey(ref), pool);
  }

  /** Why the request cannot be answered in time; undefined when it can as far as is known. */
  forecast(
    stages: readonly entryTypes.IStageRef[],
    ctx: entryTypes.IRequestContext,
  ): refusals.RefusalCode | undefined {
    const left = ctx.deadline - this.clock.monotonic();
    if (left <= 0) {
      return 'deadline-past';
    }
    if (this.times.total(stages, HOPELESS_QUANTILE) > left && !this.mayProbe()) {
      return 'deadline-unreachable';
    }
    return this.isCrowded(stages, ctx, left) ? 'shed' : undefined;
  }

  /** One of so many hopeless requests is let through, to learn whether it still is so. */
  mayProbe(): boolean {
    this.hopeless += 1;
    return this.hopeless % this.options.requestsPerProbe === 0;
  }

  /** Whether a later stage's queue alone takes more than is left, so that earlier stages would work in vain. */
  private isCrowded(
    stages: readonly entryTypes.IStageRef[],
    ctx: entryTypes.IRequestContext,
    left: commonTypes.Millis,
  ): boolean {
    return stages.some((ref, index) => {
      const pool = this.admission.poolNamed(this.pools.get(stageTimes.stageKey(ref)) ?? '');
      if (!pool || index === 0) {
        return false;
      }
      const rest = this.times.total(stages.slice(index + 1), HOPELESS_QUANTILE);
      const work = this.times.work(ref, ctx.deadline - rest);
      const spare = work.latestStart - this.clock.monotonic();
      const { laterStageQueueWaitRatio, queueWaitRatio } = this.limits;
      const share = ctx.kind.patience === 'patient' ? queueWaitRatio : laterStageQueueWaitRatio;
      return pool.estimateWait(ctx, work) > Math.min(left, spare) * share;
    });
  }
}
