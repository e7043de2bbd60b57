import * as crypto from 'node:crypto';
import * as lruCache from 'lru-cache';
import type * as types from './Types.js';

const MAX_KEYS = 200_000;

function readField(value: unknown, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>((at, key) => (at as Readonly<Record<string, unknown>> | null)?.[key], value);
}

/** Counts the runs of each piece of work, for checks that it ran at most once. */
export class RunCounter {
  private readonly counts: lruCache.LRUCache<string, number>;

  private evicted = 0;

  private total = 0;

  private late = 0;

  private cancelled = 0;

  /** Names work by `keyFields` of its JSON body, else by `Idempotency-Key`, else by call id or content. */
  constructor(private readonly keyFields: readonly string[]) {
    this.counts = new lruCache.LRUCache<string, number>({
      max: MAX_KEYS,
      dispose: (value, key, reason) => {
        this.evicted += reason === 'evict' ? 1 : 0;
      },
    });
  }

  /** Counts one run and returns how often its work has run now. */
  add(call: types.ICall, afterLeaving: boolean): number {
    const key = this.keyOf(call);
    const runs = (this.counts.get(key) ?? 0) + 1;
    this.counts.set(key, runs);
    this.total += 1;
    this.late += afterLeaving ? 1 : 0;
    return runs;
  }

  /** Counts a call whose caller left before the answer was out. */
  addCancelled(): void {
    this.cancelled += 1;
  }

  /** What was counted so far. */
  report(name: string, incarnation: string): types.IRunReport {
    return {
      name,
      incarnation,
      runs: Object.fromEntries(this.counts.entries()),
      total: this.total,
      evicted: this.evicted,
      afterLeaving: this.late,
      cancelled: this.cancelled,
    };
  }

  private keyOf(call: types.ICall): string {
    return (
      this.naturalKeyOf(call) ??
      headerOf(call, 'idempotency-key') ??
      (call.id === '' ? contentKeyOf(call) : call.id)
    );
  }

  private naturalKeyOf(call: types.ICall): string | undefined {
    if (this.keyFields.length === 0 || call.body.length === 0) {
      return undefined;
    }
    try {
      const body: unknown = JSON.parse(call.body.toString());
      const values = this.keyFields.map((field) => readField(body, field));
      return values.includes(undefined) ? undefined : values.map(String).join('/');
    } catch {
      return undefined;
    }
  }
}

function headerOf(call: types.ICall, name: string): string | undefined {
  const value = call.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function contentKeyOf(call: types.ICall): string {
  const digest = crypto.createHash('sha256').update(call.body).digest('hex').slice(0, 16);
  return `${call.method} ${call.path} ${digest}`;
}
