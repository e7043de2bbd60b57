import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import type * as commonTypes from '../../common/Types.js';
import * as folderLocked from './FolderLockedError.js';
import * as nodeFile from './NodeFile.js';
import type * as types from './Types.js';

/**
 * The file system of the operating system, through `node:fs`.
 *
 * @example
 * const store = await logStore.LogStore.open(new NodeDisk(), '/var/lib/anvildeck', 'c1', random, logService);
 */
export class NodeDisk implements types.IDisk {
  /** @inheritdoc */
  async makeFolder(path: string): Promise<void> {
    await fs.mkdir(path, { recursive: true });
  }

  /** @inheritdoc */
  async list(path: string): Promise<readonly string[]> {
    try {
      return (await fs.readdir(path)).sort();
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === 'ENOENT') {
        return [];
      }
      throw err;
    }
  }

  /** @inheritdoc */
  async open(path: string): Promise<types.IFile> {
    return new nodeFile.NodeFile(await openOrCreate(path));
  }

  /** @inheritdoc */
  async rename(from: string, to: string): Promise<void> {
    await fs.rename(from, to);
  }

  /** @inheritdoc */
  async remove(path: string): Promise<void> {
    await fs.rm(path, { force: true });
  }

  /** @inheritdoc */
  async syncFolder(path: string): Promise<void> {
    const handle = await fs.open(path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  /** @inheritdoc */
  async freeBytes(path: string): Promise<number> {
    const { bavail, bsize } = await fs.statfs(path);
    return bavail * bsize;
  }

  /**
   * Binds a Unix socket in the abstract namespace, named by the device and inode of the folder. The kernel
   * lets only one process bind it and releases it however that process ends, so no lock becomes stale.
   */
  async lock(path: string): Promise<commonTypes.IDisposable> {
    const { dev, ino } = await fs.stat(path);
    const server = net.createServer((socket) => socket.destroy());
    await new Promise<void>((resolve, reject) => {
      server.once('error', (err: NodeJS.ErrnoException) => {
        reject(err.code === 'EADDRINUSE' ? new folderLocked.FolderLockedError(path) : err);
      });
      server.listen({ path: `\0anvildeck-data-${dev}-${ino}` }, resolve);
    });
    server.unref();
    return { dispose: () => server.close() };
  }
}

async function openOrCreate(path: string): Promise<fs.FileHandle> {
  try {
    return await fs.open(path, 'r+');
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code !== 'ENOENT') {
      throw err;
    }
    return fs.open(path, 'wx+');
  }
}
