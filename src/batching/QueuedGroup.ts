import type * as types from './Types.js';

/** A group in the queue, without the items already taken for calls. */
export class QueuedGroup {
  private takenCount = 0;

  /** Queues all items of `group`. */
  constructor(readonly group: types.IItemGroup) {}

  /** Whether a call has taken at least one item of the group. */
  get isStarted(): boolean {
    return this.takenCount > 0;
  }

  /** Number of items still queued. */
  get remaining(): number {
    return this.group.items.length - this.takenCount;
  }

  /** Removes up to `count` items from the front and returns them. */
  take(count: number): readonly types.IQueuedItem[] {
    const items = this.group.items.slice(this.takenCount, this.takenCount + count);
    this.takenCount += items.length;
    return items;
  }
}
