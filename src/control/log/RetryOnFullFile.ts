import type * as types from './Types.js';
import type * as retryOnFullDisk from './RetryOnFullDisk.js';

/** An open file of a disk that waits for room. A write that was cut short is made again from its start. */
export class RetryOnFullFile implements types.IFile {
  /** Writes to `file` once `disk` has room. */
  constructor(
    private readonly file: types.IFile,
    private readonly disk: retryOnFullDisk.RetryOnFullDisk,
  ) {}

  /** @inheritdoc */
  size(): Promise<number> {
    return this.file.size();
  }

  /** @inheritdoc */
  read(offset: number, length: number): Promise<Uint8Array> {
    return this.file.read(offset, length);
  }

  /** @inheritdoc */
  write(offset: number, data: Uint8Array): Promise<void> {
    return this.disk.retryWhileFull(() => this.file.write(offset, data));
  }

  /** @inheritdoc */
  sync(): Promise<void> {
    return this.file.sync();
  }

  /** @inheritdoc */
  truncate(length: number): Promise<void> {
    return this.file.truncate(length);
  }

  /** @inheritdoc */
  close(): Promise<void> {
    return this.file.close();
  }
}
