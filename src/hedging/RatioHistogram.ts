import type * as commonTypes from '../common/Types.js';

/** Buckets for each doubling of the value; a quantile is at most 19 % too high. */
const BUCKETS_PER_DOUBLING = 4;

/** Logarithms to the base 2 of the lowest and the highest bound. */
const MIN_EXPONENT = -12;
const MAX_EXPONENT = 12;
const BUCKET_COUNT = (MAX_EXPONENT - MIN_EXPONENT) * BUCKETS_PER_DOUBLING + 1;

/**
 * Quantiles of recent positive values. Values count for one to two periods.
 *
 * @example
 * const times = new RatioHistogram(clock, 10_000);
 * times.record(0.4);
 * const p95 = times.quantile(0.95);
 */
export class RatioHistogram {
  private current = new Uint32Array(BUCKET_COUNT);

  private previous = new Uint32Array(BUCKET_COUNT);

  private periodStart: commonTypes.Millis;

  /** Starts without values; `period` is in milliseconds. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly period: commonTypes.Millis,
  ) {
    this.periodStart = clock.monotonic();
  }

  /** Number of values that count. */
  get count(): number {
    this.startPeriod();
    return sum(this.current) + sum(this.previous);
  }

  /** Records a value; values beyond the range of the buckets count as its bounds. */
  record(value: number): void {
    this.startPeriod();
    const exponent = Math.log2(Math.max(value, 2 ** MIN_EXPONENT));
    const bucket = Math.ceil((exponent - MIN_EXPONENT) * BUCKETS_PER_DOUBLING);
    const index = Math.min(BUCKET_COUNT - 1, bucket);
    this.current[index] = (this.current[index] ?? 0) + 1;
  }

  /** Upper bound of the bucket that holds a quantile (0 to 1); undefined without values. */
  quantile(rank: number): number | undefined {
    const { count } = this;
    if (count === 0) {
      return undefined;
    }
    let cumulative = 0;
    const index = this.current.findIndex((value, at) => {
      cumulative += value + (this.previous[at] ?? 0);
      return cumulative >= rank * count;
    });
    return 2 ** (MIN_EXPONENT + index / BUCKETS_PER_DOUBLING);
  }

  private startPeriod(): void {
    const elapsed = this.clock.monotonic() - this.periodStart;
    if (elapsed >= this.period) {
      this.previous = elapsed < 2 * this.period ? this.current : new Uint32Array(BUCKET_COUNT);
      this.current = new Uint32Array(BUCKET_COUNT);
      this.periodStart = this.clock.monotonic();
    }
  }
}

function sum(counts: Uint32Array): number {
  return counts.reduce((total, count) => total + count, 0);
}
