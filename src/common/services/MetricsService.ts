import * as hotShots from 'hot-shots';
import type * as commonTypes from '../Types.js';
import type * as services from './Services.js';

/** Address of the StatsD server. */
export interface IMetricsOptions {
  /** IP address of the StatsD server; without it metrics are dropped. */
  readonly host?: string;
  /** UDP port of the StatsD server. */
  readonly port?: number;
}

const PREFIX = 'anvildeck.';
const DEFAULT_PORT = 8125;

/** Sends metrics to a StatsD server over UDP. */
export class MetricsService implements services.IMetricsService, commonTypes.IDisposable {
  private readonly client: hotShots.StatsD | undefined;

  /** Opens the UDP socket; without a host metrics are neither sent nor retained. */
  constructor(options: IMetricsOptions) {
    if (options.host === undefined) {
      return;
    }
    this.client = new hotShots.StatsD({
      host: options.host,
      port: options.port ?? DEFAULT_PORT,
      prefix: PREFIX,
      maxBufferSize: 1400,
      errorHandler: () => {},
    });
  }

  /** @inheritdoc */
  count(name: string, tags: services.MetricTags = {}, by = 1): void {
    this.client?.increment(name, by, tags as hotShots.Tags);
  }

  /** @inheritdoc */
  gauge(name: string, value: number, tags: services.MetricTags = {}): void {
    this.client?.gauge(name, value, tags as hotShots.Tags);
  }

  /** @inheritdoc */
  timing(name: string, millis: number, tags: services.MetricTags = {}): void {
    this.client?.timing(name, millis, tags as hotShots.Tags);
  }

  /** @inheritdoc */
  dispose(): void {
    this.client?.close(() => {});
  }
}
