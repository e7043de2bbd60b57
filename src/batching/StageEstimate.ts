/** Estimates how long the stages of a request still take. */
import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import type * as stageScheduler from './StageScheduler.js';

/**
 * Estimated time in milliseconds from the start of a stage to the end of the longest chain of stages that depend on
 * it, including the average waits of these stages. `position` is the position of the stage in `stages`; `schedulerOf`
 * returns the scheduler of a stage service.
 *
 * @example
 * const left = estimateRemainingTime(route.stages, [2, 1], 0, (service) => schedulers.get(service));
 */
export function estimateRemainingTime(
  stages: readonly routing.IStage[],
  itemCounts: readonly number[],
  position: number,
  schedulerOf: (service: string) => stageScheduler.StageScheduler | undefined,
): commonTypes.Millis {
  const timeFrom = (at: number): commonTypes.Millis => {
    const scheduler = schedulerOf((stages[at] as routing.IStage).service);
    const dependentTimes = stages
      .map((stage, dependent) => ({ stage, dependent, scheduler: schedulerOf(stage.service) }))
      .filter(
        ({ stage, dependent }) => stage.after.includes(at) && (itemCounts[dependent] ?? 0) > 0,
      )
      .map(({ dependent, scheduler: next }) => (next?.averageWait ?? 0) + timeFrom(dependent));
    return (scheduler?.typicalCallTime ?? 0) + Math.max(0, ...dependentTimes);
  };
  return timeFrom(position);
}

/** Stages of a request that is not queued yet. */
export interface IStageEstimateRequest {
  readonly stages: readonly routing.IStage[];
  /** Number of items of each stage; 0 skips the stage. */
  readonly itemCounts: readonly number[];
  /** Whether all results of the stage at a position exist. */
  readonly isComplete: (position: number) => boolean;
  readonly schedulerOf: (service: string) => stageScheduler.StageScheduler | undefined;
}

/**
 * Estimated time in milliseconds until all stages of a request are complete, behind the outstanding items of `priority`
 * and more urgent ones. A stage works on those items while the request is in earlier stages, so that each stage begins at
 * the later of both times. Infinite for a stage service without endpoints.
 *
 * @example
 * const doneIn = estimateCompletion({ stages, itemCounts: [1, 4], isComplete: () => false, schedulerOf }, 0);
 */
export function estimateCompletion(
  { stages, itemCounts, isComplete, schedulerOf }: IStageEstimateRequest,
  priority: number,
): commonTypes.Millis {
  const endOf = (at: number): commonTypes.Millis => {
    if (isComplete(at)) {
      return 0;
    }
    const { service, after } = stages[at] as routing.IStage;
    const inputsAt = Math.max(0, ...after.map(endOf));
    if (itemCounts[at] === 0) {
      return inputsAt;
    }
    const scheduler = schedulerOf(service);
    if (scheduler === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const reachedAt = inputsAt === 0 ? 0 : inputsAt + scheduler.averageWait;
    return Math.max(reachedAt, scheduler.demandDelay(priority)) + scheduler.typicalCallTime;
  };
  return Math.max(0, ...stages.map((_, at) => endOf(at)));
}
