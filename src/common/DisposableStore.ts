import type * as types from './Types.js';

/** Owns a set of disposables and disposes them together, in reverse order of registration. */
export class DisposableStore implements types.IDisposable {
  private readonly items = new Set<types.IDisposable>();

  private disposed = false;

  /** Registers an item and returns it. An item added after the store was disposed is disposed immediately. */
  add<T extends types.IDisposable>(item: T): T {
    if (this.disposed) {
      item.dispose();
      return item;
    }
    this.items.add(item);
    return item;
  }

  /** Removes one item from the store and disposes it; items that the store does not own are ignored. */
  delete(item: types.IDisposable): void {
    if (this.items.delete(item)) {
      item.dispose();
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.disposed = true;
    const items = [...this.items].reverse();
    this.items.clear();
    items.forEach((item) => item.dispose());
  }
}
