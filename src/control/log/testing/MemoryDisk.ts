import type * as commonTypes from '../../../common/Types.js';
import * as folderLocked from '../FolderLockedError.js';
import type * as types from '../Types.js';
import * as memoryFile from './MemoryFile.js';

/**
 * How a crash treats what was written but not synced: a machine that stops loses it, tears it or
 * happens to have it on the disk; a killed process leaves it in the page cache, still not synced.
 */
export type CrashMode = 'lose' | 'tear' | 'keep' | 'kill';

/** A disk for tests: content survives a crash only when it was synced, names only when their folder was. */
export class MemoryDisk implements types.IDisk {
  /** Files by path as the process sees them. */
  readonly files = new Map<string, memoryFile.IContent>();

  private durableFiles = new Map<string, memoryFile.IContent>();

  private readonly locks = new Set<string>();

  private dead = false;

  /** Bytes read, syncs done and bytes written so far. */
  readonly counts = { readBytes: 0, syncs: 0, writtenBytes: 0 };

  /** Syncs until one fails. */
  failSyncAfter = Infinity;

  /** Shortest time that a sync takes. */
  minSyncMs = 0;

  /** Bytes until the disk is full. */
  remainingBytes = Infinity;

  /** A sync takes up to `maxSyncMs` by the clock of the process that uses the disk; none without one. */
  constructor(
    public clock?: commonTypes.IClock,
    private readonly random?: commonTypes.IRandom,
    private readonly maxSyncMs = 4,
  ) {}

  /** The disk as the next process finds it; this one takes no more operations. */
  crash(mode: CrashMode = 'lose'): MemoryDisk {
    this.dead = true;
    const next = new MemoryDisk(this.clock, this.random, this.maxSyncMs);
    if (mode === 'kill') {
      this.files.forEach((content, path) => next.files.set(path, { ...content }));
      this.durableFiles.forEach((content, path) => {
        const kept = this.files.get(path) === content ? next.files.get(path) : undefined;
        next.durableFiles.set(path, kept ?? { ...content });
      });
      return next;
    }
    this.durableFiles.forEach((content, path) => {
      const survived = memoryFile.survive(content, mode, this.random);
      next.files.set(path, survived);
      next.durableFiles.set(path, survived);
    });
    return next;
  }

  /** Gives a file other bytes, as a fault of the medium would. */
  damage(path: string, change: (bytes: Buffer) => Buffer): void {
    const content = this.files.get(path) as memoryFile.IContent;
    content.bytes = change(Buffer.from(content.bytes));
    content.synced = content.bytes;
  }

  /** Inverts one bit of a file. */
  flipBit(path: string, offset: number): void {
    this.damage(path, (bytes) => {
      bytes.writeUInt8(bytes.readUInt8(offset) ^ 1, offset);
      return bytes;
    });
  }

  /** Fails when the process that used this disk has crashed. */
  check(): void {
    if (this.dead) {
      throw new Error('crashed');
    }
  }

  /** Takes room for a write; returns how much of it fits. */
  takeSpace(bytes: number): number {
    const fits = Math.min(bytes, this.remainingBytes);
    this.remainingBytes -= fits;
    this.counts.writtenBytes += fits;
    return fits;
  }

  /** Waits as long as a sync takes, then fails if it is due to. */
  async waitForSync(): Promise<void> {
    if (this.clock !== undefined && this.random !== undefined) {
      await this.clock.sleep(this.minSyncMs + this.random.nextInt(this.maxSyncMs + 1));
    }
    this.check();
    this.counts.syncs += 1;
    if (this.counts.syncs > this.failSyncAfter) {
      throw new Error('EIO: sync failed');
    }
  }

  /** @inheritdoc */
  async makeFolder(): Promise<void> {
    this.check();
  }

  /** @inheritdoc */
  async list(path: string): Promise<readonly string[]> {
    this.check();
    const prefix = `${path}/`;
    return [...this.files.keys()]
      .filter((name) => name.startsWith(prefix))
      .map((name) => name.slice(prefix.length))
      .sort();
  }

  /** @inheritdoc */
  async open(path: string): Promise<types.IFile> {
    this.check();
    const content = this.files.get(path) ?? memoryFile.emptyContent();
    this.files.set(path, content);
    return new memoryFile.MemoryFile(this, content);
  }

  /** @inheritdoc */
  async rename(from: string, to: string): Promise<void> {
    this.check();
    this.files.set(to, this.files.get(from) as memoryFile.IContent);
    this.files.delete(from);
  }

  /** @inheritdoc */
  async remove(path: string): Promise<void> {
    this.check();
    this.files.delete(path);
  }

  /** @inheritdoc */
  async syncFolder(): Promise<void> {
    await this.waitForSync();
    this.durableFiles = new Map(this.files);
  }

  /** @inheritdoc */
  async freeBytes(): Promise<number> {
    return this.remainingBytes;
  }

  /** @inheritdoc */
  async lock(path: string): Promise<commonTypes.IDisposable> {
    this.check();
    if (this.locks.has(path)) {
      throw new folderLocked.FolderLockedError(path);
    }
    this.locks.add(path);
    return { dispose: () => this.locks.delete(path) };
  }
}
