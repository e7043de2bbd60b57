import * as fs from 'node:fs/promises';
import * as nodePath from 'node:path';
import type * as commonTypes from '../../common/Types.js';
import * as nodeDisk from './NodeDisk.js';

/** A data folder that no other process can reach, of a size that the settings tell: needs no lock. */
export class PrivateDisk extends nodeDisk.NodeDisk {
  /** The file system holds `capacity` bytes. */
  constructor(private readonly capacity: number) {
    super();
  }

  /** @inheritdoc */
  override async lock(): Promise<commonTypes.IDisposable> {
    return { dispose: () => {} };
  }

  /** @inheritdoc */
  override async freeBytes(path: string): Promise<number> {
    const names = await fs.readdir(path);
    const sizes = await Promise.all(
      names.map(async (name) => (await fs.stat(nodePath.join(path, name))).size),
    );
    return this.capacity - sizes.reduce((sum, size) => sum + size, 0);
  }
}
