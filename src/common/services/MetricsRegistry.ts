import type * as services from './Services.js';

/** Inclusive upper bounds of the duration histogram buckets, in milliseconds. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000];
const PREFIX = 'anvildeck_';
/** Limit for each kind of metric; further series are dropped. Tags come from bounded sets of values. */
const MAX_SERIES = 2000;

interface IHistogram {
  readonly counts: number[];
  sum: number;
  total: number;
}

/** Holds counters, gauges and histograms in memory and renders them in the Prometheus text format. */
export class MetricsRegistry implements services.IMetricsService {
  private readonly counters = new Map<string, number>();

  private readonly gauges = new Map<string, number>();

  private readonly histograms = new Map<string, IHistogram>();

  /** @inheritdoc */
  count(name: string, tags: services.MetricTags = {}, by = 1): void {
    const series = `${PREFIX}${name}_total${formatTags(tags)}`;
    if (this.counters.has(series) || this.counters.size < MAX_SERIES) {
      this.counters.set(series, (this.counters.get(series) ?? 0) + by);
    }
  }

  /** @inheritdoc */
  gauge(name: string, value: number, tags: services.MetricTags = {}): void {
    const series = `${PREFIX}${name}${formatTags(tags)}`;
    if (this.gauges.has(series) || this.gauges.size < MAX_SERIES) {
      this.gauges.set(series, value);
    }
  }

  /** @inheritdoc */
  timing(name: string, millis: number, tags: services.MetricTags = {}): void {
    const series = `${PREFIX}${name}_ms ${formatTags(tags)}`;
    const histogram = this.histograms.get(series) ?? {
      counts: BUCKETS_MS.map(() => 0),
      sum: 0,
      total: 0,
    };
    if (this.histograms.size >= MAX_SERIES && histogram.total === 0) {
      return;
    }
    this.histograms.set(series, histogram);
    histogram.sum += millis;
    histogram.total += 1;
    const index = BUCKETS_MS.findIndex((bound) => millis <= bound);
    if (index >= 0) {
      histogram.counts[index] = (histogram.counts[index] ?? 0) + 1;
    }
  }

  /** Renders all series in the Prometheus text format. */
  render(): string {
    const scalars = [...this.counters, ...this.gauges].map(
      ([series, value]) => `${series} ${value}`,
    );
    const durations = [...this.histograms].flatMap(([series, histogram]) =>
      renderHistogram(series, histogram),
    );
    return `${[...scalars, ...durations].join('\n')}\n`;
  }
}

function renderHistogram(series: string, histogram: IHistogram): readonly string[] {
  const [name = '', tags = ''] = series.split(' ');
  const inner = tags === '' ? '' : `${tags.slice(1, -1)},`;
  let sum = 0;
  const buckets = BUCKETS_MS.map((bound, index) => {
    sum += histogram.counts[index] ?? 0;
    return `${name}_bucket{${inner}le="${bound}"} ${sum}`;
  });
  return [
    ...buckets,
    `${name}_bucket{${inner}le="+Inf"} ${histogram.total}`,
    `${name}_sum${tags} ${Math.round(histogram.sum)}`,
    `${name}_count${tags} ${histogram.total}`,
  ];
}

function formatTags(tags: services.MetricTags): string {
  const pairs = Object.entries(tags).map(([name, value]) => `${name}="${value}"`);
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}
