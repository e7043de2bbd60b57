import type * as services from './Services.js';

/** Upper bounds of the buckets of durations, in milliseconds. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000];
const PREFIX = 'anvildeck_';
/** Series beyond this are not kept: tags come from bounded sets. */
const MAX_SERIES = 2000;

interface IHistogram {
  readonly counts: number[];
  sum: number;
  total: number;
}

/** Keeps counters, gauges and histograms, and writes them in the Prometheus text format. */
export class MetricsRegistry implements services.IMetricsService {
  private readonly counters = new Map<string, number>();

  private readonly gauges = new Map<string, number>();

  private readonly histograms = new Map<string, IHistogram>();

  /** @inheritdoc */
  count(name: string, tags: services.MetricTags = {}, by = 1): void {
    const series = `${PREFIX}${name}_total${format(tags)}`;
    if (this.counters.has(series) || this.counters.size < MAX_SERIES) {
      this.counters.set(series, (this.counters.get(series) ?? 0) + by);
    }
  }

  /** @inheritdoc */
  gauge(name: string, value: number, tags: services.MetricTags = {}): void {
    const series = `${PREFIX}${name}${format(tags)}`;
    if (this.gauges.has(series) || this.gauges.size < MAX_SERIES) {
      this.gauges.set(series, value);
    }
  }

  /** @inheritdoc */
  timing(name: string, millis: number, tags: services.MetricTags = {}): void {
    const series = `${PREFIX}${name}_ms ${format(tags)}`;
    const held = this.histograms.get(series) ?? {
      counts: BUCKETS_MS.map(() => 0),
      sum: 0,
      total: 0,
    };
    if (this.histograms.size >= MAX_SERIES && held.total === 0) {
      return;
    }
    this.histograms.set(series, held);
    held.sum += millis;
    held.total += 1;
    const at = BUCKETS_MS.findIndex((bound) => millis <= bound);
    if (at >= 0) {
      held.counts[at] = (held.counts[at] ?? 0) + 1;
    }
  }

  /** Everything as text. */
  render(): string {
    const plain = [...this.counters, ...this.gauges].map(([series, value]) => `${series} ${value}`);
    const durations = [...this.histograms].flatMap(([series, held]) => renderOne(series, held));
    return `${[...plain, ...durations].join('\n')}\n`;
  }
}

function renderOne(series: string, held: IHistogram): readonly string[] {
  const [name = '', tags = ''] = series.split(' ');
  const inner = tags === '' ? '' : `${tags.slice(1, -1)},`;
  let sum = 0;
  const buckets = BUCKETS_MS.map((bound, at) => {
    sum += held.counts[at] ?? 0;
    return `${name}_bucket{${inner}le="${bound}"} ${sum}`;
  });
  return [
    ...buckets,
    `${name}_bucket{${inner}le="+Inf"} ${held.total}`,
    `${name}_sum${tags} ${Math.round(held.sum)}`,
    `${name}_count${tags} ${held.total}`,
  ];
}

function format(tags: services.MetricTags): string {
  const pairs = Object.entries(tags).map(([name, value]) => `${name}="${value}"`);
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}
