import type * as commonTypes from '../../../common/Types.js';
import * as folderLocked from '../FolderLockedError.js';
import type * as types from '../Types.js';
import * as memoryFile from './MemoryFile.js';

/**
 * What a crash does to data written but not synced. When the machine stops, the data is lost (`lose`), torn
 * (`tear`) or durable by chance (`keep`). When only the process is killed (`kill`), it stays in the page cache,
 * still not synced.
 */
export type CrashMode = 'lose' | 'tear' | 'keep' | 'kill';

/**
 * In-memory disk for tests: file contents survive a crash only when synced, file names only when the folder was
 * synced.
 */
export class MemoryDisk implements types.IDisk {
  /** Files by path, including changes that are not synced. */
  readonly files = new Map<string, memoryFile.IContent>();

  private durableFiles = new Map<string, memoryFile.IContent>();

  private readonly locks = new Set<string>();

  private crashed = false;

  /** Operation counts since the disk was created. */
  readonly counts = { readBytes: 0, syncs: 0, writtenBytes: 0 };

  /** Number of syncs that succeed; all later ones fail. */
  failSyncAfter = Infinity;

  /** Minimum duration of a sync in ms. */
  minSyncMs = 0;

  /** Free space in bytes. */
  remainingBytes = Infinity;

  /** Size of the disk in bytes, which the files share; removing a file makes room again. */
  capacityBytes = Infinity;

  /** Whether the disk refuses every write and every new file. */
  isFull = false;

  /** A sync takes up to `maxSyncMs` more than the minimum by `clock`, or no time without a clock and `random`. */
  constructor(
    public clock?: commonTypes.IClock,
    private readonly random?: commonTypes.IRandom,
    private readonly maxSyncMs = 4,
  ) {}

  /** Returns the disk as the next process finds it; operations on this one fail from now on. */
  crash(mode: CrashMode = 'lose'): MemoryDisk {
    this.crashed = true;
    const next = new MemoryDisk(this.clock, this.random, this.maxSyncMs);
    next.capacityBytes = this.capacityBytes;
    next.isFull = this.isFull;
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

  /** Changes the durable bytes of a file, as a media fault does. */
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

  /** Throws when the process that used this disk has crashed. */
  check(): void {
    if (this.crashed) {
      throw new Error('crashed');
    }
  }

  /** Reserves space for a write by which its file grows by `growth` bytes; returns how many of the bytes fit. */
  takeSpace(bytes: number, growth: number): number {
    const excess = Math.max(0, growth - this.unusedCapacity);
    const fits = this.isFull ? 0 : Math.min(bytes - excess, this.remainingBytes);
    this.remainingBytes -= fits;
    this.counts.writtenBytes += fits;
    return fits;
  }

  /** Waits for the duration of a sync, then counts it and throws once more than `failSyncAfter` have run. */
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
    if (this.isFull && !this.files.has(path)) {
      throw memoryFile.diskFullError();
    }
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
    return Math.min(this.remainingBytes, this.unusedCapacity);
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

  private get unusedCapacity(): number {
    const used = [...this.files.values()].reduce((sum, { bytes }) => sum + bytes.length, 0);
    return this.capacityBytes - used;
  }
}
