/** Buckets of latency that rollups use: two for each doubling. */
import type * as types from './Types.js';

const FIRST_BOUND_MS = 4;
const BUCKETS_PER_DOUBLING = 2;
const BUCKET_COUNT = 32;

/** Upper bounds in milliseconds; the last bucket has none. */
export const LATENCY_BOUNDS_MS: readonly types.Millis[] = Array.from(
  { length: BUCKET_COUNT - 1 },
  (_, at) => Math.round(FIRST_BOUND_MS * 2 ** (at / BUCKETS_PER_DOUBLING)),
);

/** Number of buckets. */
export const LATENCY_BUCKET_COUNT = BUCKET_COUNT;

/**
 * Bucket of a latency.
 *
 * @example
 * bucketOf(5); // 1
 */
export function bucketOf(latency: types.Millis): number {
  const at = LATENCY_BOUNDS_MS.findIndex((bound) => latency <= bound);
  return at === -1 ? BUCKET_COUNT - 1 : at;
}

/**
 * Upper bound of the bucket that holds a quantile; undefined when there are no counts, Infinity in the last.
 *
 * @example
 * quantile([0, 10, 1], 0.95); // upper bound in milliseconds
 */
export function quantile(counts: readonly number[], share: number): types.Millis | undefined {
  const total = counts.reduce((sum, count) => sum + count, 0);
  if (total === 0) {
    return undefined;
  }
  let seen = 0;
  const at = counts.findIndex((count) => {
    seen += count;
    return seen >= share * total;
  });
  return LATENCY_BOUNDS_MS[at] ?? Infinity;
}
