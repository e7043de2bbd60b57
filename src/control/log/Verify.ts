/** Verifies a data folder without changing it. */
import * as nodePath from 'node:path';
import * as corruptLog from './CorruptLogError.js';
import * as folderReader from './FolderReader.js';
import * as nodeDisk from './NodeDisk.js';
import type * as types from './Types.js';

/**
 * Reads all files of a data folder and returns the faults found, including torn tails; the list is empty
 * when the folder is intact. The replica of the folder should be stopped.
 *
 * @example
 * const findings = await verifyDataFolder('/var/lib/anvildeck');
 * findings.forEach(({ file, offset, what }) => print(`${file}: offset ${offset}: ${what}`));
 */
export async function verifyDataFolder(
  folder: string,
  disk: types.IDisk = new nodeDisk.NodeDisk(),
): Promise<readonly types.IDataFinding[]> {
  const names = await disk.list(folder);
  const findings = await checkIdentityAndVote(disk, folder, names);
  for (const index of folderReader.snapshotIndices(names)) {
    const path = nodePath.join(folder, folderReader.snapshotName(index));
    findings.push(...(await findingOf(() => folderReader.readSnapshot(disk, path))));
  }
  findings.push(...(await checkSegments(disk, folder, names)));
  return findings;
}

async function checkIdentityAndVote(
  disk: types.IDisk,
  folder: string,
  names: readonly string[],
): Promise<types.IDataFinding[]> {
  const findings: types.IDataFinding[] = [];
  const identity = nodePath.join(folder, folderReader.IDENTITY_FILE);
  if (!names.includes(folderReader.IDENTITY_FILE)) {
    findings.push({ file: identity, offset: 0, what: 'the identity file is missing', torn: false });
  }
  const payloadFiles = [folderReader.IDENTITY_FILE, folderReader.VOTE_FILE];
  for (const name of payloadFiles.filter((each) => names.includes(each))) {
    const path = nodePath.join(folder, name);
    findings.push(...(await findingOf(() => folderReader.readPayload(disk, path))));
  }
  return findings;
}

async function checkSegments(
  disk: types.IDisk,
  folder: string,
  names: readonly string[],
): Promise<types.IDataFinding[]> {
  const sequences = folderReader.segmentSequences(names);
  const segments: folderReader.ISegmentContent[] = [];
  for (const sequence of sequences) {
    segments.push(await folderReader.readSegment(disk, folder, sequence));
  }
  const faults = segments.flatMap(({ scan }, position) => {
    const { fault } = scan;
    const last = position === segments.length - 1;
    return fault === undefined ? [] : [{ ...fault, torn: fault.torn && last }];
  });
  if (faults.length > 0) {
    return faults;
  }
  return findingOf(async () => folderReader.joinSegments(segments));
}

async function findingOf(action: () => Promise<unknown>): Promise<types.IDataFinding[]> {
  try {
    await action();
    return [];
  } catch (err) {
    if (err instanceof corruptLog.CorruptLogError) {
      return [err.finding];
    }
    throw err;
  }
}
