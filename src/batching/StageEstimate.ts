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

/**
 * Estimated time in milliseconds until a request that is not queued yet, and whose first stages have no results, reaches
 * the stage at `position`; 0 for a stage without dependencies.
 *
 * @example
 * const reachedIn = estimateArrival(route.stages, [1, 4], 1, (service) => schedulers.get(service));
 */
export function estimateArrival(
  stages: readonly routing.IStage[],
  itemCounts: readonly number[],
  position: number,
  schedulerOf: (service: string) => stageScheduler.StageScheduler | undefined,
): commonTypes.Millis {
  const { after } = stages[position] as routing.IStage;
  const inputTimes = after.map((at) => {
    const scheduler = schedulerOf((stages[at] as routing.IStage).service);
    const hasItems = (itemCounts[at] ?? 0) > 0;
    const time = hasItems ? (scheduler?.averageWait ?? 0) + (scheduler?.typicalCallTime ?? 0) : 0;
    return time + estimateArrival(stages, itemCounts, at, schedulerOf);
  });
  return Math.max(0, ...inputTimes);
}
