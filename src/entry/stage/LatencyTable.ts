import * as hdr from 'hdr-histogram-js';
import * as lruCache from 'lru-cache';
import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';

/** Histogram units in one millisecond. */
const UNITS_PER_MS = 10;
const HIGHEST_UNITS = 3_600_000 * UNITS_PER_MS;
const MAX_KEYS = 2_000;
/** Samples after which a cached quantile is read anew. */
const REFRESH_SAMPLES = 16;
/** Time after which a cached quantile is read anew. */
const REFRESH_MS = 100;

interface ICachedQuantile {
  readonly value: commonTypes.Millis | undefined;
  readonly samples: number;
  readonly at: commonTypes.Millis;
}

interface IWindows {
  current: hdr.Histogram;
  previous: hdr.Histogram;
  started: commonTypes.Millis;
  /** Samples ever seen, which dates the cached quantiles. */
  samples: number;
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
 * Learnt latencies by key. Two windows stand for decay: a sample counts for one to two windows, then it is
 * gone. A window lasts longer when the kind of work is rare. Bounded: at most 2,000 keys of a few kilobytes, the least used leave first.
 */
export class LatencyTable {
  private readonly entries = new lruCache.LRUCache<string, IWindows>({ max: MAX_KEYS });

  /** Reads the length of a window from `options`. */
  constructor(
    private readonly options: decisionOptions.IDeadlineOptions,
    private readonly clock: commonTypes.IClock,
  ) {}

  /** Adds one latency. */
  record(key: string, latency: commonTypes.Millis): void {
    const entry = this.fresh(key) ?? this.create(key);
    const units = Math.min(HIGHEST_UNITS, Math.max(1, Math.round(latency * UNITS_PER_MS)));
    entry.current.recordValue(units);
    entry.samples += 1;
  }

  /** Samples that still count. */
  sampleCount(key: string): number {
    const entry = this.fresh(key);
    return entry ? entry.current.totalCount + entry.previous.totalCount : 0;
  }

  /** The quantile in milliseconds, or undefined while there are too few samples. */
  quantile(key: string, quantile: number): commonTypes.Millis | undefined {
    const entry = this.fresh(key);
    if (!entry) {
      return undefined;
    }
    const now = this.clock.monotonic();
    const cached = entry.cached.get(quantile);
    if (
      cached &&
      entry.samples - cached.samples < REFRESH_SAMPLES &&
      now - cached.at < REFRESH_MS
    ) {
      return cached.value;
    }
    const value = this.compute(entry, quantile);
    entry.cached.set(quantile, { value, samples: entry.samples, at: now });
    return value;
  }

  private compute(entry: IWindows, quantile: number): commonTypes.Millis | undefined {
    const { current, previous } = entry;
    const count = current.totalCount + previous.totalCount;
    if (count < this.options.minSamples) {
      return undefined;
    }
    const percentile = quantile * 100;
    const fresh = current.totalCount === 0 ? 0 : current.getValueAtPercentile(percentile);
    const old = previous.totalCount === 0 ? 0 : previous.getValueAtPercentile(percentile);
    const weighted = (fresh * current.totalCount + old * previous.totalCount) / count;
    return weighted / UNITS_PER_MS;
  }

  private create(key: string): IWindows {
    const entry: IWindows = {
      current: newHistogram(),
      previous: newHistogram(),
      started: this.clock.monotonic(),
      samples: 0,
      cached: new Map(),
    };
    this.entries.set(key, entry);
    return entry;
  }

  /** The entry of a key with its windows turned as far as time has gone. */
  private fresh(key: string): IWindows | undefined {
    const entry = this.entries.get(key);
    if (!entry) {
      return undefined;
    }
    const age = this.clock.monotonic() - entry.started;
    const full = entry.current.totalCount >= this.options.minSamples;
    if (age < (full ? this.options.windowMs : this.options.maxWindowMs)) {
      return entry;
    }
    const { previous } = entry;
    entry.previous = entry.current;
    previous.reset();
    entry.current = previous;
    if (age >= 2 * this.options.maxWindowMs) {
      entry.previous.reset();
    }
    entry.started = this.clock.monotonic();
    entry.cached.clear();
    return entry;
  }
}
