import type * as types from './Types.js';

/** A group in the queue, less the items that were taken out for calls. */
export class QueuedGroup {
  private taken = 0;

  /** Nothing is taken yet. */
  constructor(readonly group: types.IItemGroup) {}

  /** Whether a part of it went into a call. */
  get isStarted(): boolean {
    return this.taken > 0;
  }

  /** Items that wait. */
  get waiting(): number {
    return this.group.items.length - this.taken;
  }

  /** Takes items out. */
  take(count: number): readonly types.IWaitingItem[] {
    const items = this.group.items.slice(this.taken, this.taken + count);
    this.taken += items.length;
    return items;
  }
}
