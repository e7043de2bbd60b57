/** Reads the files of a data folder, both at the start of a replica and to verify a folder. */
import * as nodePath from 'node:path';
import * as codec from './Codec.js';
import * as corruptLog from './CorruptLogError.js';
import * as records from './Records.js';
import type * as types from './Types.js';

/** Name of the file that holds the identity of the replica. */
export const IDENTITY_FILE = 'identity';
/** Name of the file that holds the term and the vote. */
export const VOTE_FILE = 'vote';
/** Name of the file that marks the content of the folder for removal at the next start. */
export const DISCARD_FILE = 'discard';
/** Suffix of a file that is written before it is renamed to its final name. */
export const TEMPORARY_SUFFIX = '.tmp';
const SEGMENT_PATTERN = /^log-(\d{16})\.seg$/;
const SNAPSHOT_PATTERN = /^snap-(\d{16})$/;
const NAME_DIGITS = 16;

/** File name of the segment with this sequence number, padded so that names sort by number. */
export function segmentName(sequence: number): string {
  return `log-${String(sequence).padStart(NAME_DIGITS, '0')}.seg`;
}

/** File name of the snapshot of this index, padded so that names sort by index. */
export function snapshotName(index: number): string {
  return `snap-${String(index).padStart(NAME_DIGITS, '0')}`;
}

/** Sequence numbers of the segments among file names, ascending. */
export function segmentSequences(names: readonly string[]): readonly number[] {
  return parseNumbers(names, SEGMENT_PATTERN);
}

/** Indices of the snapshots among file names, ascending. */
export function snapshotIndices(names: readonly string[]): readonly number[] {
  return parseNumbers(names, SNAPSHOT_PATTERN);
}

function parseNumbers(names: readonly string[], pattern: RegExp): readonly number[] {
  return names
    .flatMap((name) => pattern.exec(name)?.[1] ?? [])
    .map(Number)
    .sort((a, b) => a - b);
}

/** The intact records of a segment, up to its first fault, and their decoded entries. */
export interface ISegmentContent {
  readonly path: string;
  readonly scan: records.IScan;
  readonly entries: readonly types.IEntry[];
}

/** Reads a whole file into memory. */
export async function readFile(disk: types.IDisk, path: string): Promise<Uint8Array> {
  const file = await disk.open(path);
  try {
    return await file.read(0, await file.size());
  } finally {
    await file.close();
  }
}

/**
 * Reads the payload of a file that consists of one record.
 *
 * @throws CorruptLogError when the file does not hold exactly one intact record.
 */
export async function readPayload(disk: types.IDisk, path: string): Promise<Uint8Array> {
  const { records: intact, end, fault } = records.scanRecords(path, await readFile(disk, path));
  const [record] = intact;
  if (fault !== undefined || record === undefined || intact.length !== 1) {
    const what = fault?.what ?? 'the file does not hold exactly one record';
    throw new corruptLog.CorruptLogError({ file: path, offset: end, what, torn: false });
  }
  return record.payload;
}

/**
 * Reads a snapshot.
 *
 * @throws CorruptLogError when a record is damaged or the data is incomplete.
 */
export async function readSnapshot(disk: types.IDisk, path: string): Promise<types.ISnapshot> {
  const scan = records.scanRecords(path, await readFile(disk, path));
  const [head, ...chunks] = scan.records;
  if (scan.fault !== undefined || head === undefined) {
    const what = scan.fault?.what ?? 'snapshot file is empty';
    throw new corruptLog.CorruptLogError({ file: path, offset: scan.end, what, torn: false });
  }
  const { size, ...meta } = codec.decodeSnapshotMeta(head.payload);
  const data = Buffer.concat(chunks.map((chunk) => chunk.payload));
  if (data.length !== size) {
    const what = `snapshot is incomplete: it holds ${data.length} of ${size} bytes`;
    throw new corruptLog.CorruptLogError({ file: path, offset: scan.end, what, torn: false });
  }
  return { meta, data };
}

/** Reads a segment up to its first fault, which `scan.fault` describes. */
export async function readSegment(
  disk: types.IDisk,
  folder: string,
  sequence: number,
): Promise<ISegmentContent> {
  const path = nodePath.join(folder, segmentName(sequence));
  const scan = records.scanRecords(path, await readFile(disk, path));
  const entries = scan.records.flatMap((record) => codec.decodeBatch(record.payload));
  return { path, scan, entries };
}

/**
 * Joins the entries of all segments in order. An entry replaces all earlier ones at its index and above, as
 * a follower does when the leader overwrites a conflicting suffix.
 *
 * @throws CorruptLogError when the indices have a gap.
 */
export function joinSegments(segments: readonly ISegmentContent[]): readonly types.IEntry[] {
  const joined: types.IEntry[] = [];
  segments.forEach((segment) => {
    segment.entries.forEach((entry) => appendEntry(joined, entry, segment.path));
  });
  return joined;
}

function appendEntry(joined: types.IEntry[], entry: types.IEntry, file: string): void {
  const first = joined[0]?.index ?? entry.index;
  const next = first + joined.length;
  if (entry.index > next) {
    const what = `gap in the log: entry ${entry.index} follows entry ${next - 1}`;
    throw new corruptLog.CorruptLogError({ file, offset: 0, what, torn: false });
  }
  joined.splice(Math.max(0, entry.index - first));
  joined.push(entry);
}
