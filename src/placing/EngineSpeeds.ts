/** Compares the speeds of the engines of one service by the time between the events of their streams. */
import type * as commonTypes from '../common/Types.js';
import type * as engineState from './EngineState.js';
import * as relativeTimes from './RelativeTime.js';

/** Streams after which the pace of an engine is known. */
export const MIN_STREAMS = 4;
/** Weight of a new stream in the average pace. */
export const PACE_WEIGHT = 0.1;

/**
 * Returns the median pace of the engines that say how fast they work and have run some streams; undefined if there are
 * fewer than two.
 *
 * @example
 * const reference = medianPace([...engines.values()]);
 */
export function medianPace(
  engines: readonly engineState.EngineState[],
): commonTypes.Millis | undefined {
  const paces = engines.flatMap(({ pace }) => pace ?? []).sort((a, b) => a - b);
  return paces.length < 2 ? undefined : paces[Math.floor((paces.length - 1) / 2)];
}

/**
 * Returns the time that work takes on an engine now, relative to an engine of median pace without a slowdown; 1 for an
 * engine that does not say how fast it works.
 *
 * @example
 * const cost = tokens * expectedTime(engine, medianPace(engines), clock.monotonic());
 */
export function expectedTime(
  engine: engineState.EngineState,
  reference: commonTypes.Millis | undefined,
  now: commonTypes.Millis,
): number {
  const { pace, slowdown } = engine;
  const ratio = pace === undefined || reference === undefined ? 1 : pace / reference;
  return relativeTimes.relativeTime(ratio) * slowdown.at(now);
}
