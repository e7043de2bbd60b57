/** Latency histogram buckets of the accounting rollups; the bounds are exponential, two for each doubling. */
import type * as types from './Types.js';

const FIRST_BOUND_MS = 4;
const BUCKETS_PER_DOUBLING = 2;
const BUCKET_COUNT = 32;

/** Inclusive upper bounds in milliseconds; the last bucket has no upper bound. */
export const LATENCY_BOUNDS_MS: readonly types.Millis[] = Array.from(
  { length: BUCKET_COUNT - 1 },
  (_, index) => Math.round(FIRST_BOUND_MS * 2 ** (index / BUCKETS_PER_DOUBLING)),
);

/** Number of buckets, including the last one without an upper bound. */
export const LATENCY_BUCKET_COUNT = BUCKET_COUNT;

/**
 * Returns the index of the bucket that counts a latency.
 *
 * @example
 * bucketOf(5); // 1
 */
export function bucketOf(latency: types.Millis): number {
  const index = LATENCY_BOUNDS_MS.findIndex((bound) => latency <= bound);
  return index === -1 ? BUCKET_COUNT - 1 : index;
}

/**
 * Returns the upper bound of the bucket that contains a quantile (0 to 1): undefined without counts,
 * Infinity when the quantile is in the last bucket.
 *
 * @example
 * quantile([0, 10, 1], 0.95); // upper bound in milliseconds
 */
export function quantile(counts: readonly number[], rank: number): types.Millis | undefined {
  const total = counts.reduce((sum, count) => sum + count, 0);
  if (total === 0) {
    return undefined;
  }
  let cumulative = 0;
  const index = counts.findIndex((count) => {
    cumulative += count;
    return cumulative >= rank * total;
  });
  return LATENCY_BOUNDS_MS[index] ?? Infinity;
}
