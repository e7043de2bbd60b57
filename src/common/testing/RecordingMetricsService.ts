import type * as services from '../services/Services.js';

/** A metrics service for tests that records counters and the last value of each gauge; timings are ignored. */
export class RecordingMetricsService implements services.IMetricsService {
  /** Counter values by `name{tag=value,...}`. */
  readonly counters = new Map<string, number>();

  /** Last gauge values by `name{tag=value,...}`. */
  readonly gauges = new Map<string, number>();

  /** @inheritdoc */
  count(name: string, tags: services.MetricTags = {}, by = 1): void {
    const key = metricKey(name, tags);
    this.counters.set(key, (this.counters.get(key) ?? 0) + by);
  }

  /** @inheritdoc */
  gauge(name: string, value: number, tags: services.MetricTags = {}): void {
    this.gauges.set(metricKey(name, tags), value);
  }

  /** @inheritdoc */
  timing(): void {}
}

/** Returns the key of a counter or gauge: its name and its tags, sorted by tag name. */
export function metricKey(name: string, tags: services.MetricTags): string {
  const parts = Object.entries(tags).sort(([a], [b]) => (a < b ? -1 : 1));
  return `${name}{${parts.map(([tag, value]) => `${tag}=${value}`).join(',')}}`;
}
