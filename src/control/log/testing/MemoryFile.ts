import type * as commonTypes from '../../../common/Types.js';
import type * as types from '../Types.js';
import type * as memoryDisk from './MemoryDisk.js';

const SECTOR_BYTES = 512;

/** Bytes of a file, with and without the changes after the last sync. */
export interface IContent {
  bytes: Buffer;
  synced: Buffer;
}

/** Content of a new, empty file. */
export function emptyContent(): IContent {
  return { bytes: Buffer.alloc(0), synced: Buffer.alloc(0) };
}

/** Error of a write for which the disk has no room. */
export function diskFullError(): Error {
  return Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' });
}

/** Content of a file after a crash: the synced bytes and, depending on `mode`, some unsynced ones. */
export function survive(
  content: IContent,
  mode: memoryDisk.CrashMode,
  random: commonTypes.IRandom | undefined,
): IContent {
  const bytes = mode === 'lose' ? content.synced : Buffer.from(content.bytes);
  const remaining = mode === 'tear' && random !== undefined ? tear(content, bytes, random) : bytes;
  return { bytes: remaining, synced: remaining };
}

/** Truncates the unsynced tail at random, or zeroes one of its sectors. */
function tear(content: IContent, bytes: Buffer, random: commonTypes.IRandom): Buffer {
  const start = content.synced.length;
  const unsynced = bytes.length - start;
  if (unsynced <= 0) {
    return bytes;
  }
  if (random.nextInt(2) === 0) {
    return bytes.subarray(0, start + random.nextInt(unsynced));
  }
  const at = start + random.nextInt(unsynced);
  const sector = Math.floor(at / SECTOR_BYTES) * SECTOR_BYTES;
  bytes.fill(0, Math.max(start, sector), Math.min(bytes.length, sector + SECTOR_BYTES));
  return bytes;
}

/** An open file of a memory disk. */
export class MemoryFile implements types.IFile {
  /** Opens `content`, the content of a file on `disk`. */
  constructor(
    private readonly disk: memoryDisk.MemoryDisk,
    private readonly content: IContent,
  ) {}

  /** @inheritdoc */
  async size(): Promise<number> {
    this.disk.check();
    return this.content.bytes.length;
  }

  /** @inheritdoc */
  async read(offset: number, length: number): Promise<Uint8Array> {
    this.disk.check();
    const part = this.content.bytes.subarray(offset, offset + length);
    this.disk.counts.readBytes += part.length;
    return Buffer.from(part);
  }

  /** @inheritdoc */
  async write(offset: number, data: Uint8Array): Promise<void> {
    this.disk.check();
    const growth = Math.max(0, offset + data.length - this.content.bytes.length);
    const fits = this.disk.takeSpace(data.length, growth);
    const length = Math.max(this.content.bytes.length, offset + fits);
    const bytes = Buffer.alloc(length);
    this.content.bytes.copy(bytes);
    bytes.set(data.subarray(0, fits), offset);
    this.content.bytes = bytes;
    if (fits < data.length) {
      throw diskFullError();
    }
  }

  /** @inheritdoc */
  async sync(): Promise<void> {
    const { bytes } = this.content;
    await this.disk.waitForSync();
    this.content.synced = bytes;
  }

  /** @inheritdoc */
  async truncate(length: number): Promise<void> {
    this.disk.check();
    this.content.bytes = this.content.bytes.subarray(0, length);
  }

  /** @inheritdoc */
  async close(): Promise<void> {
    this.disk.check();
  }
}
