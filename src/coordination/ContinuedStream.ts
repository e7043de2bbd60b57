import type * as types from './Types.js';

/**
 * Ratio of the time left until the deadline within which a continued stream is to go on. Its latency goal ended with its
 * first event, which the caller has.
 */
const GOAL_DEADLINE_RATIO = 0.5;
/** Part of a priority level by which a continued stream goes before new requests of its priority. */
const PRIORITY_ADVANCE = 0.5;

/** Whether a request continues a stream of which its caller has events. */
export function isContinued({ version, continuedId }: types.IPlanRequest): boolean {
  return version !== undefined || continuedId !== undefined;
}

/**
 * Gives a request that continues a stream precedence over new requests of its priority, and time until it goes on, so
 * that it is admitted while new requests, which must meet their goal, are refused. Answers the load after many streams
 * broke off in the same moment: their callers take them up together, while the callers of new requests repeat what was
 * refused.
 *
 * @example
 * const outcome = admission.check(prioritizeContinued(req), held);
 */
export function prioritizeContinued(req: types.IPlanRequest): types.IPlanRequest {
  if (!isContinued(req)) {
    return req;
  }
  const goalLeft = Math.max(req.goalLeft, req.deadlineLeft * GOAL_DEADLINE_RATIO);
  return { ...req, goalLeft, priority: req.priority - PRIORITY_ADVANCE };
}
