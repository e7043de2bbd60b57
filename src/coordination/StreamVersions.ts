import * as lruCache from 'lru-cache';
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
}

interface IStream {
  readonly version: string;
  readonly at: commonTypes.Millis;
}

/**
 * Remembers which software version began the stream of each request, and which versions each service has had. Two VMs
 * know of a stream: the entry VM that serves it and the coordinator.
 */
export class StreamVersions {
  private readonly streams = new lruCache.LRUCache<string, IStream>({ max: MAX_STREAMS });

  /** Time at which a version was listed last, by service and version. */
  private readonly listedAt = new Map<string, Map<string, commonTypes.Millis>>();

  /** Knows no stream yet. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Records the version of the engine to which a request is sent, in place of an earlier one. */
  record(requestId: string, version: string): void {
    this.streams.set(requestId, { version, at: this.clock.monotonic() });
  }

  /** Records that a service has endpoints of a version. */
  recordListed(service: string, version: string): void {
    const versions = this.listedAt.get(service) ?? new Map<string, commonTypes.Millis>();
    versions.set(version, this.clock.monotonic());
    this.listedAt.set(service, versions);
  }

  /**
   * Returns the version that began the stream of a request to a service: the recorded one, or the only one that the
   * service has had lately; undefined if it is not known.
   *
   * @example
   * const version = streams.versionOf('r-1', 'llm');
   */
  versionOf(requestId: string, service: string): string | undefined {
    const stream = this.streams.get(requestId);
    return stream !== undefined && this.isRecent(stream.at)
      ? stream.version
      : this.onlyVersionOf(service);
  }

  /** The latest streams, for another VM. */
  get records(): readonly IStreamRecord[] {
    const now = this.clock.monotonic();
    return [...this.streams.entries()]
      .slice(0, MAX_SENT)
      .filter(([, { at }]) => this.isRecent(at))
      .map(([requestId, { version, at }]) => ({ requestId, version, age: now - at }));
  }

  /** Adopts the streams of another VM; later knowledge wins. Records that cannot be read are left out. */
  merge(records: readonly IStreamRecord[]): void {
    const now = this.clock.monotonic();
    [...records].reverse().forEach(({ requestId, version, age }) => {
      const isReadable =
        typeof requestId === 'string' && typeof version === 'string' && Number.isFinite(age);
      const at = now - Math.max(0, age);
      if (isReadable && at > (this.streams.peek(requestId)?.at ?? Number.NEGATIVE_INFINITY)) {
        this.streams.set(requestId, { version, at });
      }
    });
  }

  private onlyVersionOf(service: string): string | undefined {
    const recent = [...(this.listedAt.get(service) ?? [])].filter(([, at]) => this.isRecent(at));
    return recent.length === 1 ? recent[0]?.[0] : undefined;
  }

  private isRecent(at: commonTypes.Millis): boolean {
    return this.clock.monotonic() - at <= RETENTION_MS;
  }
}
