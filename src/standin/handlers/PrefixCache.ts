import type * as http from 'node:http';
import * as lruCache from 'lru-cache';
import type * as commonTypes from '../../common/Types.js';
import type * as types from '../Types.js';

const TOKENS_PER_PREFIX = 256;

/** The prompt prefixes that an engine holds, and the events that tell of them. */
export class PrefixCache implements commonTypes.IDisposable {
  private readonly prefixes: lruCache.LRUCache<string, true>;

  private readonly subscribers = new Set<http.ServerResponse>();

  private readonly timers = new Set<commonTypes.IDisposable>();

  private seq = 0;

  /** Starts empty. */
  constructor(private readonly ctx: types.IStandinContext) {
    this.prefixes = new lruCache.LRUCache<string, true>({
      max: Math.max(1, ctx.options.cachePrefixes),
      dispose: (value, prefix, reason) => {
        if (reason === 'evict') {
          this.tell('removed', prefix);
        }
      },
    });
  }

  /** Share of the cache in use, 0 to 1. */
  get used(): number {
    return this.prefixes.size / this.prefixes.max;
  }

  /** Uses a prefix; returns whether it was held already. */
  touch(prefix: string): boolean {
    if (this.prefixes.get(prefix) === true) {
      return true;
    }
    this.prefixes.set(prefix, true);
    this.tell('stored', prefix);
    return false;
  }

  /** Streams cache events until the connection closes. */
  publish(res: http.ServerResponse): Promise<undefined> {
    res.writeHead(200, { 'Content-Type': 'text/event-stream' });
    res.flushHeaders();
    this.subscribers.add(res);
    res.on('close', () => this.subscribers.delete(res));
    return Promise.resolve(undefined);
  }

  /** Tells how many tokens an export of a prefix holds. */
  export(body: Readonly<Record<string, unknown>>): Promise<types.IReply> {
    const held = this.prefixes.has(String(body.prefix));
    return Promise.resolve({
      status: held ? 200 : 404,
      json: { tokens: held ? TOKENS_PER_PREFIX : 0 },
    });
  }

  /** Takes a prefix over from another engine. */
  import(body: Readonly<Record<string, unknown>>): Promise<types.IReply> {
    this.touch(String(body.prefix));
    return Promise.resolve({ status: 200, json: { tokens: TOKENS_PER_PREFIX } });
  }

  /** Forgets everything, as a restarted process does. */
  clear(): void {
    this.prefixes.clear();
    this.seq = 0;
  }

  /** @inheritdoc */
  dispose(): void {
    this.timers.forEach((timer) => timer.dispose());
    this.timers.clear();
    this.subscribers.forEach((res) => res.destroy());
    this.subscribers.clear();
  }

  private tell(type: 'stored' | 'removed', prefix: string): void {
    this.seq += 1;
    if (this.subscribers.size === 0 || this.ctx.random.next() < this.ctx.faults.cacheGapShare) {
      return;
    }
    const event = `data: ${JSON.stringify({ seq: this.seq, type, prefix })}\n\n`;
    const timer = this.ctx.clock.setTimer(this.ctx.faults.cacheLagMs, () => {
      this.timers.delete(timer);
      this.subscribers.forEach((res) => res.write(event));
    });
    this.timers.add(timer);
  }
}
