import type * as types from './Types.js';
import type * as retryOnFullDisk from './RetryOnFullDisk.js';

/** An open file of a RetryOnFullDisk. A write that failed halfway is repeated from its start. */
export class RetryOnFullFile implements types.IFile {
  /** Wraps `file`; `disk` retries its writes while the disk is full. */
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
