/**
 * Updates to send again in the next regular exchanges. The least often sent updates come first, and each is sent
 * a fixed number of times. When the queue exceeds its size limit, the most often sent update is evicted.
 */
export class RetransmitQueue<T> {
  private readonly items = new Map<string, { readonly item: T; readonly sendCount: number }>();

  /** Holds up to `max` updates and sends each of them `retransmits` times. */
  constructor(
    private readonly max: number,
    private readonly retransmits: number,
  ) {}

  /** Number of queued updates. */
  get size(): number {
    return this.items.size;
  }

  /** Adds the update for `key`, or replaces it and resets its count. */
  add(key: string, item: T): void {
    this.items.delete(key);
    this.items.set(key, { item, sendCount: 0 });
    if (this.items.size > this.max) {
      const [mostSent] = [...this.items].sort(([, a], [, b]) => b.sendCount - a.sendCount);
      this.items.delete(mostSent?.[0] ?? key);
    }
  }

  /** Returns up to `count` updates, the least often sent first. */
  peek(count: number): readonly T[] {
    const sorted = [...this.items.values()].sort((a, b) => a.sendCount - b.sendCount);
    return sorted.slice(0, count).map(({ item }) => item);
  }

  /** Records that these updates were sent once more; removes those that were sent often enough. */
  markSent(sent: readonly T[]): void {
    [...this.items]
      .filter(([, entry]) => sent.includes(entry.item))
      .forEach(([key, entry]) => this.updateCount(key, entry.item, entry.sendCount + 1));
  }

  private updateCount(key: string, item: T, sendCount: number): void {
    if (sendCount >= this.retransmits) {
      this.items.delete(key);
    } else {
      this.items.set(key, { item, sendCount });
    }
  }
}
