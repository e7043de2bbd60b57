import * as lruCache from 'lru-cache';

/** Maximum number of endpoints stored for one prefix. */
const MAX_HOLDERS = 4;

/** One event of an endpoint's KV cache; `seq` increases by one per event of that endpoint. */
export interface ICacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'removed';
  readonly prefix: string;
}

interface IHolder {
  readonly endpoint: string;
  /** Epoch of the endpoint when the entry was made; an entry of an earlier epoch is invalid. */
  readonly epoch: number;
}

/**
 * Index of the endpoints that hold each prompt prefix. It is built from the calls of this VM and from cache
 * events, which may arrive late and with gaps. A gap may hide removals, so it starts a new epoch of that
 * endpoint, which invalidates its earlier entries. The index holds up to `max` prefixes with up to four
 * holders each and evicts the least recently used prefix.
 */
export class PrefixIndex {
  private readonly prefixes: lruCache.LRUCache<string, readonly IHolder[]>;

  private readonly epochs = new Map<string, number>();

  private readonly lastSequences = new Map<string, number>();

  /** Creates an index of up to `max` prefixes. */
  constructor(max: number) {
    this.prefixes = new lruCache.LRUCache({ max: Math.max(1, max) });
  }

  /** Names of the endpoints that probably hold the prefix, the most recent first. */
  holders(prefix: string): readonly string[] {
    const holders = this.prefixes.get(prefix) ?? [];
    return holders.filter((holder) => this.isCurrent(holder)).map((holder) => holder.endpoint);
  }

  /** Records that the endpoint holds the prefix, for instance because it ran a prompt that starts with it. */
  add(prefix: string, endpoint: string): void {
    const otherHolders = this.others(prefix, endpoint);
    const holder = { endpoint, epoch: this.epochs.get(endpoint) ?? 0 };
    this.prefixes.set(prefix, [holder, ...otherHolders].slice(0, MAX_HOLDERS));
  }

  /** Applies one cache event of an endpoint; ignores an event that is not newer than the last one. */
  observe(endpoint: string, event: ICacheEvent): void {
    const last = this.lastSequences.get(endpoint);
    if (last !== undefined && event.seq <= last) {
      return;
    }
    if (last !== undefined && event.seq > last + 1) {
      this.invalidate(endpoint);
    }
    this.lastSequences.set(endpoint, event.seq);
    if (event.type === 'stored') {
      this.add(event.prefix, endpoint);
    } else {
      this.prefixes.set(event.prefix, this.others(event.prefix, endpoint));
    }
  }

  /** Handles a new incarnation of the endpoint: its cache is empty and its event sequence starts again. */
  reset(endpoint: string): void {
    this.invalidate(endpoint);
    this.lastSequences.delete(endpoint);
  }

  /** Invalidates all entries of an endpoint, for instance after a gap in its events. */
  invalidate(endpoint: string): void {
    this.epochs.set(endpoint, (this.epochs.get(endpoint) ?? 0) + 1);
  }

  /** Drops the sequence numbers and epochs of all endpoints that are not in `endpoints`. */
  retain(endpoints: ReadonlySet<string>): void {
    [...this.lastSequences.keys()]
      .filter((name) => !endpoints.has(name))
      .forEach((name) => this.lastSequences.delete(name));
    [...this.epochs.keys()]
      .filter((name) => !endpoints.has(name))
      .forEach((name) => this.epochs.delete(name));
  }

  private others(prefix: string, endpoint: string): readonly IHolder[] {
    const holders = this.prefixes.get(prefix) ?? [];
    return holders.filter((holder) => holder.endpoint !== endpoint && this.isCurrent(holder));
  }

  private isCurrent(holder: IHolder): boolean {
    return holder.epoch === (this.epochs.get(holder.endpoint) ?? 0);
  }
}
