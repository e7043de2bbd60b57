import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as endpointDirectory from './EndpointDirectory.js';
import type * as types from './Types.js';

/** Reads the endpoint list from the platform. */
export interface IEndpointSource {
  /** Returns all endpoints; rejects if any part of the list cannot be read. */
  read(): Promise<readonly types.IEndpoint[]>;
}

/** Upper bound of the exponential backoff after failed reads, unless the poll interval is longer. */
const MAX_BACKOFF_MS = 2000;

/**
 * Polls the endpoint list while this process is responsible for reading it, and updates the directory when the
 * list changes. Failed reads are retried with exponential backoff and leave the directory unchanged.
 */
export class EndpointPoller implements commonTypes.IDisposable {
  private readonly abortController = new AbortController();

  private failures = 0;

  /** Time at which the latest successful read began. */
  private readAt: commonTypes.Millis = Number.NEGATIVE_INFINITY;

  /**
   * Starts polling at once. The list is read every `interval` milliseconds, with a random jitter of up to 10 %
   * either way, while `isActive()` returns true; otherwise `isActive()` is checked four times per interval.
   */
  constructor(
    private readonly source: IEndpointSource,
    private readonly directory: endpointDirectory.EndpointDirectory,
    private readonly options: {
      readonly interval: commonTypes.Millis;
      readonly isActive: () => boolean;
      readonly clock: commonTypes.IClock;
      readonly random: commonTypes.IRandom;
      readonly logService: commonServices.ILogService;
    },
  ) {
    void this.run();
  }

  /** Time since the latest successful read began; infinite before the first one. */
  get age(): commonTypes.Millis {
    return this.options.clock.monotonic() - this.readAt;
  }

  /** @inheritdoc */
  dispose(): void {
    this.abortController.abort(new Error('endpoint poller disposed'));
  }

  private async run(): Promise<void> {
    const { clock, random, interval, isActive } = this.options;
    const { signal } = this.abortController;
    while (!signal.aborted) {
      let delay = interval / 4;
      if (isActive()) {
        await this.readOnce();
        const base = this.failures === 0 ? interval : interval / 2;
        delay = Math.min(
          base * 2 ** Math.min(this.failures, 4),
          Math.max(interval, MAX_BACKOFF_MS),
        );
      }
      await clock.sleep(delay * (0.9 + random.next() / 5), signal).catch(() => {});
    }
  }

  private async readOnce(): Promise<void> {
    const { clock, logService } = this.options;
    const startedAt = clock.monotonic();
    try {
      const endpoints = await this.source.read();
      this.readAt = startedAt;
      if (this.failures > 0) {
        logService.info('endpoint-list-regained', { failures: this.failures });
      }
      this.failures = 0;
      this.update(endpoints);
    } catch (err) {
      this.failures += 1;
      if (this.failures === 1) {
        logService.warn('endpoint-list-lost', { reason: (err as Error).message });
      }
    }
  }

  private update(endpoints: readonly types.IEndpoint[]): void {
    const { current } = this.directory;
    if (JSON.stringify(endpoints) === JSON.stringify(current.endpoints)) {
      return;
    }
    const revision = current.revision + 1;
    const draining = endpoints.filter((endpoint) => endpoint.draining).length;
    this.options.logService.info('endpoints-changed', {
      revision,
      endpoints: endpoints.length,
      draining,
    });
    this.directory.replace({ revision, endpoints });
  }
}
