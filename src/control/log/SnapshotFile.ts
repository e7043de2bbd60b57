/** Writes and removes snapshot files; FolderReader reads them. */
import * as nodePath from 'node:path';
import * as atomicFile from './AtomicFile.js';
import * as codec from './Codec.js';
import * as folderReader from './FolderReader.js';
import type * as types from './Types.js';

const CHUNK_BYTES = 1024 * 1024;

/**
 * Writes a snapshot file: one record of metadata, then the data in chunks of up to 1 MiB. The file is
 * durable when the promise resolves.
 *
 * @example
 * await writeSnapshot(disk, '/var/lib/anvildeck', { meta, data });
 */
export async function writeSnapshot(
  disk: types.IDisk,
  folder: string,
  snapshot: types.ISnapshot,
): Promise<void> {
  const { meta, data } = snapshot;
  const payloads = [codec.encodeSnapshotMeta(meta, data.length)];
  for (let offset = 0; offset < data.length; offset += CHUNK_BYTES) {
    payloads.push(data.subarray(offset, offset + CHUNK_BYTES));
  }
  const path = nodePath.join(folder, folderReader.snapshotName(meta.index));
  await atomicFile.writeAtomically(disk, path, payloads);
}

/**
 * Removes the file of the snapshot `previous` unless `current` was written to the same file.
 *
 * @example
 * await removePreviousSnapshot(disk, '/var/lib/anvildeck', previous, current);
 */
export async function removePreviousSnapshot(
  disk: types.IDisk,
  folder: string,
  previous: types.ISnapshot | undefined,
  current: types.ISnapshot,
): Promise<void> {
  if (previous !== undefined && previous.meta.index !== current.meta.index) {
    await disk.remove(nodePath.join(folder, folderReader.snapshotName(previous.meta.index)));
  }
}
