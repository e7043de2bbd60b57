/** Replaces files atomically: after a crash either the old or the new content is intact. */
import * as nodePath from 'node:path';
import * as folderReader from './FolderReader.js';
import * as records from './Records.js';
import type * as types from './Types.js';

/**
 * Replaces a file by one with a record per payload, through a temporary file. The new content is durable
 * when the promise resolves.
 *
 * @example
 * await writeAtomically(disk, '/data/vote', [encodeVote(vote)]);
 */
export async function writeAtomically(
  disk: types.IDisk,
  path: string,
  payloads: readonly Uint8Array[],
): Promise<void> {
  const temporary = `${path}${folderReader.TEMPORARY_SUFFIX}`;
  await disk.remove(temporary);
  const file = await disk.open(temporary);
  try {
    await writeRecords(file, payloads);
    await file.sync();
  } finally {
    await file.close();
  }
  await disk.rename(temporary, path);
  await disk.syncFolder(nodePath.dirname(path));
}

async function writeRecords(file: types.IFile, payloads: readonly Uint8Array[]): Promise<void> {
  let offset = 0;
  for (const payload of payloads) {
    const record = records.encodeRecord(payload);
    await file.write(offset, record);
    offset += record.length;
  }
}
