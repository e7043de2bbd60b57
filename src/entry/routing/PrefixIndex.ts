import * as lruCache from 'lru-cache';

/** Endpoints remembered per prefix. */
const MAX_HOLDERS = 4;

/** One event of an endpoint's KV cache. */
export interface ICacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'removed';
  readonly prefix: string;
}

interface IHolder {
  readonly endpoint: string;
  /** Epoch of the endpoint when it was entered; an older one is not believed. */
  readonly epoch: number;
}

/**
 * Which endpoints hold which prompt prefix: from own calls and from cache events that come late and with
 * gaps. A gap may hide removals, so it opens a new epoch of that endpoint and what was known before is
 * dropped. Bounded: `max` prefixes of up to four holders, the least used leave first.
 */
export class PrefixIndex {
  private readonly prefixes: lruCache.LRUCache<string, readonly IHolder[]>;

  private readonly epochs = new Map<string, number>();

  private readonly sequences = new Map<string, number>();

  /** Remembers up to `max` prefixes. */
  constructor(max: number) {
    this.prefixes = new lruCache.LRUCache({ max: Math.max(1, max) });
  }

  /** Names of the endpoints that probably hold the prefix. */
  holders(prefix: string): readonly string[] {
    const holders = this.prefixes.get(prefix) ?? [];
    return holders.filter((holder) => this.believed(holder)).map((holder) => holder.endpoint);
  }

  /** The endpoint ran a prompt with this prefix, so it holds it for a while. */
  add(prefix: string, endpoint: string): void {
    const others = this.others(prefix, endpoint);
    const holder = { endpoint, epoch: this.epochs.get(endpoint) ?? 0 };
    this.prefixes.set(prefix, [holder, ...others].slice(0, MAX_HOLDERS));
  }

  /** Takes one cache event of an endpoint. An event that is not newer than the last one is ignored. */
  observe(endpoint: string, event: ICacheEvent): void {
    const last = this.sequences.get(endpoint);
    if (last !== undefined && event.seq <= last) {
      return;
    }
    if (last !== undefined && event.seq > last + 1) {
      this.invalidate(endpoint);
    }
    this.sequences.set(endpoint, event.seq);
    if (event.type === 'stored') {
      this.add(event.prefix, endpoint);
    } else {
      this.prefixes.set(event.prefix, this.others(event.prefix, endpoint));
    }
  }

  /** The endpoint is a new incarnation: its cache is empty and its events count from the start. */
  reset(endpoint: string): void {
    this.invalidate(endpoint);
    this.sequences.delete(endpoint);
  }

  /** Drops all that is known of an endpoint: its events had a gap. */
  invalidate(endpoint: string): void {
    this.epochs.set(endpoint, (this.epochs.get(endpoint) ?? 0) + 1);
  }

  /** Drops endpoints that are no longer declared. */
  retain(endpoints: ReadonlySet<string>): void {
    [...this.sequences.keys()]
      .filter((name) => !endpoints.has(name))
      .forEach((name) => this.sequences.delete(name));
    [...this.epochs.keys()]
      .filter((name) => !endpoints.has(name))
      .forEach((name) => this.epochs.delete(name));
  }

  private others(prefix: string, endpoint: string): readonly IHolder[] {
    const holders = this.prefixes.get(prefix) ?? [];
    return holders.filter((holder) => holder.endpoint !== endpoint && this.believed(holder));
  }

  private believed(holder: IHolder): boolean {
    return holder.epoch === (this.epochs.get(holder.endpoint) ?? 0);
  }
}
