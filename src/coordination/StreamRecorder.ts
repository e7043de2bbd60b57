import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as controlTypes from '../control/Types.js';
import type * as streamVersions from './StreamVersions.js';
import * as versionRecord from './VersionRecord.js';

/** Interval of the records; streams of the last one may be missing after a restart of all VMs. */
const RECORD_INTERVAL_MS = 100;
/** Pause after a record that was not stored. */
const RETRY_INTERVAL_MS = 500;
/** Maximum number of streams in a record, about 40 KB. */
const MAX_STREAMS_PER_RECORD = 2000;

/** Components that a stream recorder uses. */
export interface IStreamRecorderDependencies {
  readonly clock: commonTypes.IClock;
  readonly log: controlTypes.IReplicatedLog;
  readonly streams: streamVersions.StreamVersions;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  /** Whether this VM plans requests with a quorum and the log holds a routing document. */
  readonly isActive: () => boolean;
}

/**
 * Stores in the replicated log which versions each service has had lately and, while those are several, which version
 * began each stream. No request waits for it.
 */
export class StreamRecorder implements commonTypes.IDisposable {
  /** Ids of streams that the log may not hold, by service in the order in which they began; empty name if not known. */
  private readonly unrecorded = new Map<string, Set<string>>();

  private readonly stopController = new AbortController();

  private readonly subscription: commonTypes.IDisposable;

  private isFailing = false;

  /** Follows the streams of `deps.streams`; `start` begins to record them. */
  constructor(private readonly deps: IStreamRecorderDependencies) {
    this.subscription = deps.streams.onNews(({ requestId, service = '', isResumable = true }) => {
      if (isResumable) {
        const ids = this.unrecorded.get(service) ?? new Set<string>();
        // Deleted first, so that the ids stay in the order of their streams' times.
        ids.delete(requestId);
        this.unrecorded.set(service, ids.add(requestId));
      }
    });
  }

  /** Records until `dispose` is called. */
  start(): void {
    void this.run();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stopController.abort(new Error('stream recorder disposed'));
    this.subscription.dispose();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      const pause = this.isFailing ? RETRY_INTERVAL_MS : RECORD_INTERVAL_MS;
      await this.deps.clock.sleep(pause, signal).catch(() => {});
      this.discardExpired();
      if (!signal.aborted && this.deps.isActive()) {
        await this.recordNews();
      }
    }
  }

  private async recordNews(): Promise<void> {
    const { log, metrics } = this.deps;
    const services = this.changedServices();
    const { ids, streams } = this.takeStreams();
    if (ids.length === 0 && Object.keys(services).length === 0) {
      return;
    }
    try {
      await log.propose(versionRecord.encode({ services, streams }));
      metrics.count('streams_recorded', {}, ids.length);
      this.logResult(services, undefined);
    } catch (err) {
      // Streams that the log holds after all are skipped when they are taken again.
      ids.forEach(([service, id]) => this.unrecorded.get(service)?.add(id));
      this.logResult(services, (err as Error).message);
    }
  }

  /** Versions of the services whose recent versions are others than the log holds. */
  private changedServices(): Readonly<Record<string, readonly string[]>> {
    const { streams } = this.deps;
    const logged = streams.loggedVersions;
    return Object.fromEntries(
      streams.listedServices
        .map((service) => [service, streams.recentVersions(service)] as const)
        .filter(
          ([service, versions]) =>
            versions.length > 0 && versions.join('\n') !== logged.get(service)?.join('\n'),
        ),
    );
  }

  /** Takes the oldest unrecorded streams of services that have had several versions lately. */
  private takeStreams(): {
    readonly ids: readonly (readonly [service: string, id: string])[];
    readonly streams: Readonly<Record<string, readonly string[]>>;
  } {
    const ids: (readonly [string, string])[] = [];
    const taken: (readonly [version: string, id: string])[] = [];
    [...this.unrecorded]
      .filter(([service]) => this.hasSeveralVersions(service))
      .forEach(([service, pending]) => {
        for (const id of pending) {
          if (ids.length >= MAX_STREAMS_PER_RECORD) {
            return;
          }
          pending.delete(id);
          const version = this.deps.streams.unloggedVersionOf(id);
          if (version !== undefined) {
            ids.push([service, id]);
            taken.push([version, id]);
          }
        }
      });
    return { ids, streams: versionRecord.groupByVersion(taken) };
  }

  private hasSeveralVersions(service: string): boolean {
    const { streams } = this.deps;
    const services = service === '' ? streams.listedServices : [service];
    return services.some((each) => streams.recentVersions(each).length > 1);
  }

  /** Drops the ids of streams that the log holds or that nobody takes up any more. */
  private discardExpired(): void {
    this.unrecorded.forEach((pending, service) => {
      for (const id of pending) {
        if (this.deps.streams.unloggedVersionOf(id) !== undefined) {
          return;
        }
        pending.delete(id);
      }
      this.unrecorded.delete(service);
    });
  }

  private logResult(
    services: Readonly<Record<string, readonly string[]>>,
    reason: string | undefined,
  ): void {
    const { logService } = this.deps;
    if (reason === undefined) {
      Object.entries(services).forEach(([service, versions]) =>
        logService.info('versions-recorded', { service, versions: versions.join(',') }),
      );
    }
    if (reason !== undefined && !this.isFailing) {
      logService.warn('streams-not-recorded', { reason });
      this.deps.metrics.count('streams_not_recorded');
    } else if (reason === undefined && this.isFailing) {
      logService.info('streams-recorded-again');
    }
    this.isFailing = reason !== undefined;
  }
}
