import * as lruCache from 'lru-cache';
import * as emitter from '../common/Emitter.js';
import * as shortId from '../common/ShortId.js';
import type * as commonTypes from '../common/Types.js';

/** Longer than a caller takes a stream up after it has begun. */
const RETENTION_MS = 60_000;
/** Maximum number of streams; the oldest yield. */
const MAX_STREAMS = 50_000;
/** Maximum number of streams that are told another VM, the latest first. */
const MAX_SENT = 5000;

/** The software version of the engine to which a request was sent. */
export interface IStreamRecord {
  readonly requestId: string;
  readonly version: string;
  readonly age: commonTypes.Millis;
  /** Name of the service whose engine that was; absent if a VM of an earlier build does not tell it. */
  readonly service?: string | undefined;
}

/** A request that was sent to an engine. */
export interface IBegunStream {
  readonly requestId: string;
  readonly version: string;
  readonly service?: string | undefined;
  /** Whether the caller may continue the stream by another request; undefined if that is not known. */
  readonly isResumable?: boolean | undefined;
}

interface IStream {
  readonly version: string;
  readonly service: string | undefined;
  readonly at: commonTypes.Millis;
  /** Whether the replicated log holds it. */
  readonly isLogged: boolean;
}

/** Versions that a service had at some time. */
interface IVersionSet {
  readonly versions: readonly string[];
  readonly at: commonTypes.Millis;
}

/**
 * Remembers which software version began the stream of each request, and which versions each service has had. Two VMs
 * know of a stream: the entry VM that serves it and the coordinator. A control VM also learns what the replicated log
 * holds, which survives a restart of all VMs.
 */
export class StreamVersions implements commonTypes.IDisposable {
  /** Streams by the short id of their request. */
  private readonly streams = new lruCache.LRUCache<string, IStream>({ max: MAX_STREAMS });

  /** Time at which a version was listed last, by service and version. */
  private readonly listedAt = new Map<string, Map<string, commonTypes.Millis>>();

  /** Time at which the versions of a service were listed first. */
  private readonly watchedSince = new Map<string, commonTypes.Millis>();

  /** Versions of each service in the replicated log, with the time at which this VM learned them. */
  private readonly logged = new Map<string, IVersionSet>();

  private readonly newsEmitter = new emitter.Emitter<IBegunStream>();

  /** Fires for each stream of which this VM learns other than from the replicated log. */
  readonly onNews = this.newsEmitter.event;

  /** Knows no stream yet. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Records the version of the engine to which a request is sent, in place of an earlier one. */
  record(stream: IBegunStream): void {
    const { version, service } = stream;
    const requestId = shortId.shortIdOf(stream.requestId);
    const at = this.clock.monotonic();
    this.streams.set(requestId, { version, service, at, isLogged: false });
    this.newsEmitter.fire({ ...stream, requestId });
  }

  /** Adopts streams of a version that the replicated log holds. */
  recordLoggedStreams(version: string, requestIds: readonly string[]): void {
    const at = this.clock.monotonic();
    requestIds.forEach((requestId) => {
      const known = this.streams.peek(requestId);
      const isLater = known !== undefined && known.version !== version && !known.isLogged;
      if (!isLater) {
        const { service } = known ?? {};
        this.streams.set(requestId, { version, service, at: known?.at ?? at, isLogged: true });
      }
    });
  }

  /** Version of a recent stream that the replicated log does not hold; undefined for other streams. */
  unloggedVersionOf(requestId: string): string | undefined {
    const stream = this.streams.peek(shortId.shortIdOf(requestId));
    return stream !== undefined && !stream.isLogged && this.isRecent(stream.at)
      ? stream.version
      : undefined;
  }

  /** Records the versions that the endpoints of a service have now. */
  recordListed(service: string, versions: Iterable<string>): void {
    const now = this.clock.monotonic();
    const listed = this.listedAt.get(service) ?? new Map<string, commonTypes.Millis>();
    [...versions].forEach((version) => listed.set(version, now));
    this.listedAt.set(service, listed);
    this.watchedSince.set(service, this.watchedSince.get(service) ?? now);
  }

  /** Records the versions of a service that the replicated log holds, in place of earlier ones. */
  recordLogged(service: string, versions: readonly string[]): void {
    this.logged.set(service, { versions, at: this.clock.monotonic() });
  }

  /** Regards the versions in the replicated log as current, because this VM has not read the endpoint list lately. */
  renewLogged(): void {
    [...this.logged].forEach(([service, { versions }]) => this.recordLogged(service, versions));
  }

  /** Versions of each service in the replicated log. */
  get loggedVersions(): ReadonlyMap<string, readonly string[]> {
    return new Map([...this.logged].map(([service, { versions }]) => [service, versions]));
  }

  /** Names of the services whose endpoints have been listed. */
  get listedServices(): readonly string[] {
    return [...this.listedAt.keys()];
  }

  /** Versions that a service has had lately, sorted. */
  recentVersions(service: string): readonly string[] {
    const listed = [...(this.listedAt.get(service) ?? [])]
      .filter(([, at]) => this.isRecent(at))
      .map(([version]) => version);
    const logged = this.logged.get(service);
    const carried = logged !== undefined && this.isRecent(logged.at) ? logged.versions : [];
    return [...new Set([...listed, ...carried])].sort();
  }

  /**
   * Returns the version that began the stream of a request to a service: the recorded one, or the only one that the
   * service has had lately; undefined if it is not known.
   *
   * @example
   * const version = streams.versionOf('r-1', 'llm');
   */
  versionOf(requestId: string, service: string): string | undefined {
    return this.recordedVersionOf(requestId) ?? this.onlyVersionOf(service);
  }

  /** Version that began the stream of a request, if it is recorded. */
  recordedVersionOf(requestId: string): string | undefined {
    const stream = this.streams.get(shortId.shortIdOf(requestId));
    return stream !== undefined && this.isRecent(stream.at) ? stream.version : undefined;
  }

  /** The latest streams, for another VM. */
  get records(): readonly IStreamRecord[] {
    return this.latest(MAX_SENT);
  }

  /** At most `count` streams of the last minute, the latest first. */
  latest(count: number): readonly IStreamRecord[] {
    const now = this.clock.monotonic();
    return [...this.streams.entries()]
      .slice(0, count)
      .filter(([, { at }]) => this.isRecent(at))
      .map(([requestId, { version, service, at }]) => ({
        requestId,
        version,
        age: now - at,
        ...(service === undefined ? {} : { service }),
      }));
  }

  /** Adopts the streams of another VM; later knowledge wins. Records that cannot be read are left out. */
  merge(records: readonly IStreamRecord[]): void {
    const now = this.clock.monotonic();
    [...records].reverse().forEach(({ requestId: id, version, age, service }) => {
      const isReadable =
        typeof id === 'string' && typeof version === 'string' && Number.isFinite(age);
      const requestId = isReadable ? shortId.shortIdOf(id) : '';
      const at = now - Math.max(0, age);
      if (isReadable && at > (this.streams.peek(requestId)?.at ?? Number.NEGATIVE_INFINITY)) {
        this.streams.set(requestId, { version, service, at, isLogged: false });
        this.newsEmitter.fire({ requestId, version, service });
      }
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.newsEmitter.dispose();
  }

  private onlyVersionOf(service: string): string | undefined {
    const versions = this.recentVersions(service);
    return versions.length === 1 && this.isHistoryKnown(service) ? versions[0] : undefined;
  }

  /** Whether no version can have served lately of which this VM does not know. */
  private isHistoryKnown(service: string): boolean {
    const since = this.watchedSince.get(service);
    return this.logged.has(service) || (since !== undefined && !this.isRecent(since));
  }

  private isRecent(at: commonTypes.Millis): boolean {
    return this.clock.monotonic() - at <= RETENTION_MS;
  }
}
