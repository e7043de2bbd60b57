import type * as commonTypes from '../../common/Types.js';
import type * as types from './Types.js';

/**
 * A disk that can be closed while the process runs on, so that another replica can use the folder: nothing of the
 * former one reaches the disk after `close` has resolved.
 *
 * @example
 * const disk = new ClosableDisk(new NodeDisk());
 * await disk.close();
 */
export class ClosableDisk implements types.IDisk {
  private readonly pending = new Set<Promise<unknown>>();

  private isClosed = false;

  /** Wraps `disk`. */
  constructor(private readonly disk: types.IDisk) {}

  /** Rejects all later operations, and waits for those that run. */
  async close(): Promise<void> {
    this.isClosed = true;
    await Promise.allSettled([...this.pending]);
  }

  /** Runs an operation unless the disk is closed. */
  async run<T>(action: () => Promise<T>): Promise<T> {
    if (this.isClosed) {
      throw new Error('disk closed');
    }
    const operation = action();
    this.pending.add(operation);
    try {
      return await operation;
    } finally {
      this.pending.delete(operation);
    }
  }

  /** @inheritdoc */
  makeFolder(path: string): Promise<void> {
    return this.run(() => this.disk.makeFolder(path));
  }

  /** @inheritdoc */
  list(path: string): Promise<readonly string[]> {
    return this.run(() => this.disk.list(path));
  }

  /** @inheritdoc */
  async open(path: string): Promise<types.IFile> {
    const file = await this.run(() => this.disk.open(path));
    return {
      size: () => this.run(() => file.size()),
      read: (offset, length) => this.run(() => file.read(offset, length)),
      write: (offset, data) => this.run(() => file.write(offset, data)),
      sync: () => this.run(() => file.sync()),
      truncate: (length) => this.run(() => file.truncate(length)),
      close: () => file.close(),
    };
  }

  /** @inheritdoc */
  rename(from: string, to: string): Promise<void> {
    return this.run(() => this.disk.rename(from, to));
  }

  /** @inheritdoc */
  remove(path: string): Promise<void> {
    return this.run(() => this.disk.remove(path));
  }

  /** @inheritdoc */
  syncFolder(path: string): Promise<void> {
    return this.run(() => this.disk.syncFolder(path));
  }

  /** @inheritdoc */
  freeBytes(path: string): Promise<number> {
    return this.run(() => this.disk.freeBytes(path));
  }

  /** @inheritdoc */
  lock(path: string): Promise<commonTypes.IDisposable> {
    return this.run(() => this.disk.lock(path));
  }
}
