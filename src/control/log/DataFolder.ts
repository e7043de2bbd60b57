/** Opens a data folder and reads its files: identity, vote, snapshot and segments. */
import * as nodePath from 'node:path';
import type * as commonTypes from '../../common/Types.js';
import type * as controlTypes from '../Types.js';
import * as atomicFile from './AtomicFile.js';
import * as codec from './Codec.js';
import * as corruptLog from './CorruptLogError.js';
import * as folderReader from './FolderReader.js';
import type * as types from './Types.js';

const INCARNATION_WORDS = 4;
const WORD_LIMIT = 2 ** 31;
const HEX_RADIX = 16;
const HEX_DIGITS = 8;

/** A data folder that this process has locked. */
export interface IOpenFolder {
  readonly path: string;
  readonly identity: types.IIdentity;
  readonly lock: commonTypes.IDisposable;
}

/** Contents of a data folder. */
export interface IFolderContent {
  readonly snapshot: types.ISnapshot | undefined;
  readonly vote: types.IVote;
  /** Entries of the segments, starting at or before the entry that follows the snapshot. */
  readonly entries: readonly types.IEntry[];
  /** Sequence numbers of the segments, in ascending order. */
  readonly segmentSequences: readonly number[];
  readonly segments: readonly folderReader.ISegmentContent[];
  /** Incomplete record at the end of the newest segment, left by a crash; at most one. */
  readonly tornTails: readonly types.IDataFinding[];
  /** True when the snapshot came from the leader and replaces the segments that still exist. */
  readonly areSegmentsObsolete: boolean;
}

/**
 * Locks a folder, empties it if it is marked for that, removes leftover files, and reads its identity, or creates one
 * that records `founders`.
 *
 * @throws FolderLockedError; CorruptLogError when the folder belongs to another replica or its identity is missing.
 */
export async function openFolder(
  disk: types.IDisk,
  path: string,
  id: string,
  random: commonTypes.IRandom,
  founders: readonly controlTypes.IFoundingMember[],
): Promise<IOpenFolder> {
  await disk.makeFolder(path);
  const lock = await disk.lock(path);
  try {
    await completeDiscard(disk, path);
    await removeLeftoverFiles(disk, path);
    const identity = await openIdentity(disk, path, id, random, founders);
    return { path, identity, lock };
  } catch (err) {
    lock.dispose();
    throw err;
  }
}

/**
 * Marks the content of a folder for removal, which the next `openFolder` carries out. Removing the files at once could
 * leave a part of them behind if the process ended meanwhile, and such a folder does not open.
 */
export async function markForDiscard(disk: types.IDisk, path: string): Promise<void> {
  const file = await disk.open(nodePath.join(path, folderReader.DISCARD_FILE));
  try {
    await file.sync();
  } finally {
    await file.close();
  }
  await disk.syncFolder(path);
}

/** Empties a folder that is marked for it; the mark is removed last. */
async function completeDiscard(disk: types.IDisk, path: string): Promise<void> {
  const names = await disk.list(path);
  if (!names.includes(folderReader.DISCARD_FILE)) {
    return;
  }
  for (const name of names.filter((each) => each !== folderReader.DISCARD_FILE)) {
    await disk.remove(nodePath.join(path, name));
  }
  await disk.syncFolder(path);
  await disk.remove(nodePath.join(path, folderReader.DISCARD_FILE));
  await disk.syncFolder(path);
}

/** Removes temporary files that were never renamed into place, and snapshots replaced by a newer one. */
async function removeLeftoverFiles(disk: types.IDisk, path: string): Promise<void> {
  const names = await disk.list(path);
  const temporaries = names.filter((name) => name.endsWith(folderReader.TEMPORARY_SUFFIX));
  const older = folderReader.snapshotIndices(names).slice(0, -1).map(folderReader.snapshotName);
  for (const name of [...temporaries, ...older]) {
    await disk.remove(nodePath.join(path, name));
  }
}

async function openIdentity(
  disk: types.IDisk,
  path: string,
  id: string,
  random: commonTypes.IRandom,
  founders: readonly controlTypes.IFoundingMember[],
): Promise<types.IIdentity> {
  const file = nodePath.join(path, folderReader.IDENTITY_FILE);
  const names = await disk.list(path);
  if (names.includes(folderReader.IDENTITY_FILE)) {
    const identity = codec.decodeIdentity(await folderReader.readPayload(disk, file));
    if (identity.id !== id) {
      throw corruptError(file, `the data folder belongs to replica ${identity.id}`);
    }
    return identity;
  }
  if (names.some(isLogFile)) {
    throw corruptError(file, 'the identity file is missing but log files exist');
  }
  const identity = { id, incarnation: createIncarnation(random), founders };
  await atomicFile.writeAtomically(disk, file, [codec.encodeIdentity(identity)]);
  return identity;
}

function isLogFile(name: string): boolean {
  const numbered = [
    ...folderReader.segmentSequences([name]),
    ...folderReader.snapshotIndices([name]),
  ];
  return name === folderReader.VOTE_FILE || numbered.length > 0;
}

function createIncarnation(random: commonTypes.IRandom): string {
  const words = Array.from({ length: INCARNATION_WORDS }, () => random.nextInt(WORD_LIMIT));
  return words.map((word) => word.toString(HEX_RADIX).padStart(HEX_DIGITS, '0')).join('');
}

function corruptError(file: string, description: string, offset = 0): corruptLog.CorruptLogError {
  return new corruptLog.CorruptLogError({ file, offset, what: description, torn: false });
}

/**
 * Reads the contents that a restart needs.
 *
 * @throws CorruptLogError when data that was durable cannot be read.
 */
export async function readContent(disk: types.IDisk, path: string): Promise<IFolderContent> {
  const names = await disk.list(path);
  const vote = await readVote(disk, path, names);
  const snapshot = await readNewestSnapshot(disk, path, names);
  const segmentSequences = folderReader.segmentSequences(names);
  const segments: folderReader.ISegmentContent[] = [];
  for (const sequence of segmentSequences) {
    segments.push(await folderReader.readSegment(disk, path, sequence));
  }
  const tornTails = findTornTails(segments);
  const joined = folderReader.joinSegments(segments);
  const areSegmentsObsolete = isReplacedBySnapshot(joined, snapshot);
  const entries = areSegmentsObsolete ? [] : joined;
  checkNoGapAfterSnapshot(path, entries, snapshot);
  return { snapshot, vote, entries, segmentSequences, segments, tornTails, areSegmentsObsolete };
}

async function readVote(
  disk: types.IDisk,
  path: string,
  names: readonly string[],
): Promise<types.IVote> {
  if (!names.includes(folderReader.VOTE_FILE)) {
    return { term: 0, votedFor: undefined };
  }
  const file = nodePath.join(path, folderReader.VOTE_FILE);
  return codec.decodeVote(await folderReader.readPayload(disk, file));
}

async function readNewestSnapshot(
  disk: types.IDisk,
  path: string,
  names: readonly string[],
): Promise<types.ISnapshot | undefined> {
  const newest = folderReader.snapshotIndices(names).at(-1);
  if (newest === undefined) {
    return undefined;
  }
  return folderReader.readSnapshot(disk, nodePath.join(path, folderReader.snapshotName(newest)));
}

/**
 * Returns the torn tail, if any, and throws on other faults. Only the newest segment may be torn: the others were
 * synced before it.
 */
function findTornTails(segments: readonly folderReader.ISegmentContent[]): types.IDataFinding[] {
  return segments.flatMap(({ scan }, position) => {
    const { fault } = scan;
    if (fault === undefined) {
      return [];
    }
    if (!fault.torn || position < segments.length - 1) {
      throw new corruptLog.CorruptLogError({ ...fault, torn: false });
    }
    return [fault];
  });
}

/**
 * Whether the log ends before the snapshot's index or has another term there, which happens only when the leader sent
 * the snapshot. False without a snapshot and for a log without entries.
 */
function isReplacedBySnapshot(
  entries: readonly types.IEntry[],
  snapshot: types.ISnapshot | undefined,
): boolean {
  const last = entries.at(-1);
  if (snapshot === undefined || last === undefined) {
    return false;
  }
  const { index, term } = snapshot.meta;
  const atSnapshot = entries.find((entry) => entry.index === index);
  return last.index < index || (atSnapshot !== undefined && atSnapshot.term !== term);
}

function checkNoGapAfterSnapshot(
  path: string,
  entries: readonly types.IEntry[],
  snapshot: types.ISnapshot | undefined,
): void {
  const first = entries[0];
  const next = (snapshot?.meta.index ?? 0) + 1;
  if (first !== undefined && first.index > next) {
    throw corruptError(path, `log entries ${next} to ${first.index - 1} are missing`);
  }
}
