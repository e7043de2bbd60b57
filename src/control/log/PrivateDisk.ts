import * as fs from 'node:fs/promises';
import * as nodePath from 'node:path';
import type * as commonTypes from '../../common/Types.js';
import * as nodeDisk from './NodeDisk.js';

/**
 * A disk for a data folder that no other process can reach. It needs no lock, and its free space counts
 * against a size from the settings.
 */
export class PrivateDisk extends nodeDisk.NodeDisk {
  /** `capacityBytes` is the size of the file system in bytes. */
  constructor(private readonly capacityBytes: number) {
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
    return this.capacityBytes - sizes.reduce((sum, size) => sum + size, 0);
  }
}
