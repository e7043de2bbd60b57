/** Times that differ from the middle by less than this ratio count as alike: chance and load differ as much. */
const ALIKE_RATIO = 1.2;
/** Bounds of the result, so that no endpoint is left out or takes all. */
const MIN_RATIO = 0.4;
const MAX_RATIO = 3;

/**
 * Returns how much longer work takes at an endpoint than at others, by the ratio of their measured times. Ratios near 1
 * give 1, so that alike endpoints do not swing by what is measured of them.
 *
 * @example
 * const cost = work * relativeTime(measured / median);
 */
export function relativeTime(ratio: number): number {
  if (ratio > ALIKE_RATIO) {
    return Math.min(MAX_RATIO, ratio / ALIKE_RATIO);
  }
  return ratio < 1 / ALIKE_RATIO ? Math.max(MIN_RATIO, ratio * ALIKE_RATIO) : 1;
}
