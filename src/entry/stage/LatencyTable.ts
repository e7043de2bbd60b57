import * as hdr from 'hdr-histogram-js';
import * as lruCache from 'lru-cache';
import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';

/** Histogram units in one millisecond. */
const UNITS_PER_MS = 10;
const MAX_UNITS = 3_600_000 * UNITS_PER_MS;
const MAX_KEYS = 2_000;
/** New samples after which a cached quantile is recomputed. */
const REFRESH_SAMPLES = 16;
/** Age at which a cached quantile is recomputed. */
const REFRESH_MS = 100;

interface ICachedQuantile {
  readonly value: commonTypes.Millis | undefined;
  readonly sampleCount: number;
  readonly computedAt: commonTypes.Millis;
}

interface IWindows {
  current: hdr.Histogram;
  previous: hdr.Histogram;
  startedAt: commonTypes.Millis;
  /** Total number of samples recorded; compared with the count of a cached quantile to tell its age. */
  sampleCount: number;
  readonly cached: Map<number, ICachedQuantile>;
}

function newHistogram(): hdr.Histogram {
  return hdr.build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: 2,
  });
}

/**
 * Latency histograms by key, with two windows for decay: a sample counts for one to two windows and then
 * expires. A window lasts longer when the kind of work is rare. The table holds at most 2,000 keys of a few
 * kilobytes each and evicts the least recently used one.
 */
export class LatencyTable {
  private readonly entries = new lruCache.LRUCache<string, IWindows>({ max: MAX_KEYS });

  /** `options` holds the window lengths and the minimum number of samples for a quantile. */
  constructor(
    private readonly options: decisionOptions.IDeadlineOptions,
    private readonly clock: commonTypes.IClock,
  ) {}

  /** Records one latency in milliseconds. */
  record(key: string, latency: commonTypes.Millis): void {
    const entry = this.rotatedEntry(key) ?? this.createEntry(key);
    const units = Math.min(MAX_UNITS, Math.max(1, Math.round(latency * UNITS_PER_MS)));
    entry.current.recordValue(units);
    entry.sampleCount += 1;
  }

  /** Number of samples in the two current windows. */
  sampleCount(key: string): number {
    const entry = this.rotatedEntry(key);
    return entry ? entry.current.totalCount + entry.previous.totalCount : 0;
  }

  /** Returns a quantile (0 to 1) in milliseconds, or undefined while there are too few samples. */
  quantile(key: string, quantile: number): commonTypes.Millis | undefined {
    const entry = this.rotatedEntry(key);
    if (!entry) {
      return undefined;
    }
    const now = this.clock.monotonic();
    const cached = entry.cached.get(quantile);
    if (
      cached &&
      entry.sampleCount - cached.sampleCount < REFRESH_SAMPLES &&
      now - cached.computedAt < REFRESH_MS
    ) {
      return cached.value;
    }
    const value = this.computeQuantile(entry, quantile);
    entry.cached.set(quantile, { value, sampleCount: entry.sampleCount, computedAt: now });
    return value;
  }

  private computeQuantile(entry: IWindows, quantile: number): commonTypes.Millis | undefined {
    const { current, previous } = entry;
    const count = current.totalCount + previous.totalCount;
    if (count < this.options.minSamples) {
      return undefined;
    }
    const percentile = quantile * 100;
    const currentValue = current.totalCount === 0 ? 0 : current.getValueAtPercentile(percentile);
    const previousValue = previous.totalCount === 0 ? 0 : previous.getValueAtPercentile(percentile);
    const weighted =
      (currentValue * current.totalCount + previousValue * previous.totalCount) / count;
    return weighted / UNITS_PER_MS;
  }

  private createEntry(key: string): IWindows {
    const entry: IWindows = {
      current: newHistogram(),
      previous: newHistogram(),
      startedAt: this.clock.monotonic(),
      sampleCount: 0,
      cached: new Map(),
    };
    this.entries.set(key, entry);
    return entry;
  }

  /** Returns the entry of a key after rotating its windows when they have expired. */
  private rotatedEntry(key: string): IWindows | undefined {
    const entry = this.entries.get(key);
    if (!entry) {
      return undefined;
    }
    const age = this.clock.monotonic() - entry.startedAt;
    const hasEnoughSamples = entry.current.totalCount >= this.options.minSamples;
    if (age < (hasEnoughSamples ? this.options.windowMs : this.options.maxWindowMs)) {
      return entry;
    }
    const { previous } = entry;
    entry.previous = entry.current;
    previous.reset();
    entry.current = previous;
    if (age >= 2 * this.options.maxWindowMs) {
      entry.previous.reset();
    }
    entry.startedAt = this.clock.monotonic();
    entry.cached.clear();
    return entry;
  }
}
