import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as endpointDirectory from './EndpointDirectory.js';
import type * as types from './Types.js';

/** Reads the platform's list of endpoints. */
export interface IEndpointSource {
  /** All endpoints; rejects when the list can't be read whole. */
  read(): Promise<readonly types.IEndpoint[]>;
}

/** Waits grow up to this while the list can't be read. */
const MAX_RETRY_MS = 2000;

/** Reads the list again and again while it is this process's turn to do so. */
export class EndpointPoller implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private failures = 0;

  /** Reads every `interval` milliseconds while `isActive`; `jitter` gives a random share for each wait. */
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

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('poller closed'));
  }

  private async run(): Promise<void> {
    const { clock, random, interval, isActive } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      let wait = interval / 4;
      if (isActive()) {
        await this.readOnce();
        const base = this.failures === 0 ? interval : interval / 2;
        wait = Math.min(base * 2 ** Math.min(this.failures, 4), Math.max(interval, MAX_RETRY_MS));
      }
      await clock.sleep(wait * (0.9 + random.next() / 5), signal).catch(() => {});
    }
  }

  private async readOnce(): Promise<void> {
    const { logService } = this.options;
    try {
      const endpoints = await this.source.read();
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
