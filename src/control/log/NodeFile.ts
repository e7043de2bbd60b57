import type * as fs from 'node:fs/promises';
import type * as types from './Types.js';

/** A file behind an open Node.js file handle. */
export class NodeFile implements types.IFile {
  /** Takes over an open handle, which `close` closes. */
  constructor(private readonly handle: fs.FileHandle) {}

  /** @inheritdoc */
  async size(): Promise<number> {
    const { size } = await this.handle.stat();
    return size;
  }

  /** @inheritdoc */
  async read(offset: number, length: number): Promise<Uint8Array> {
    const buffer = new Uint8Array(length);
    let filled = 0;
    while (filled < length) {
      const { bytesRead } = await this.handle.read(
        buffer,
        filled,
        length - filled,
        offset + filled,
      );
      if (bytesRead === 0) {
        break;
      }
      filled += bytesRead;
    }
    return buffer.subarray(0, filled);
  }

  /** @inheritdoc */
  async write(offset: number, data: Uint8Array): Promise<void> {
    let written = 0;
    while (written < data.length) {
      const remaining = data.length - written;
      const { bytesWritten } = await this.handle.write(data, written, remaining, offset + written);
      written += bytesWritten;
    }
  }

  /** @inheritdoc */
  async sync(): Promise<void> {
    await this.handle.datasync();
  }

  /** @inheritdoc */
  async truncate(length: number): Promise<void> {
    await this.handle.truncate(length);
  }

  /** @inheritdoc */
  async close(): Promise<void> {
    await this.handle.close();
  }
}
