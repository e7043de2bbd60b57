/**
 * News to tell again in the next regular exchanges: the least told first, each a fixed number of times.
 * Bounded by `max`; the most told leaves first.
 */
export class RetransmitQueue<T> {
  private readonly items = new Map<string, { readonly item: T; readonly told: number }>();

  /** Holds up to `max` items, each told `retells` times. */
  constructor(
    private readonly max: number,
    private readonly retells: number,
  ) {}

  /** Number of items held. */
  get size(): number {
    return this.items.size;
  }

  /** Adds or replaces the news of `key`. */
  add(key: string, item: T): void {
    this.items.delete(key);
    this.items.set(key, { item, told: 0 });
    if (this.items.size > this.max) {
      const [most] = [...this.items].sort(([, a], [, b]) => b.told - a.told);
      this.items.delete(most?.[0] ?? key);
    }
  }

  /** Up to `count` items, the least told first. */
  peek(count: number): readonly T[] {
    const sorted = [...this.items.values()].sort((a, b) => a.told - b.told);
    return sorted.slice(0, count).map(({ item }) => item);
  }

  /** These items went out once more. */
  markTold(told: readonly T[]): void {
    [...this.items]
      .filter(([, entry]) => told.includes(entry.item))
      .forEach(([key, entry]) => this.advance(key, entry.item, entry.told + 1));
  }

  private advance(key: string, item: T, told: number): void {
    if (told >= this.retells) {
      this.items.delete(key);
    } else {
      this.items.set(key, { item, told });
    }
  }
}
