import * as nodePath from 'node:path';
import * as folderReader from './FolderReader.js';
import * as records from './Records.js';
import type * as types from './Types.js';

/** A segment and the highest index written to it, including replaced entries. */
interface ISegment {
  readonly sequence: number;
  highestIndex: number;
}

/** Appends records to the newest segment and removes old segments. */
export class SegmentWriter {
  private readonly segments: ISegment[] = [];

  private file: types.IFile | undefined;

  private endOffset = 0;

  private rollPending = false;

  private writing = false;

  private nextSequence = 1;

  /** Number of syncs since the start; shows how many appends share a sync. */
  syncs = 0;

  /** Writes segments to `folder` on `disk`. */
  constructor(
    private readonly disk: types.IDisk,
    private readonly folder: string,
  ) {}

  /** Bytes written to the newest segment. */
  get bytes(): number {
    return this.endOffset;
  }

  /**
   * Continues after the segments read at the start: `contents` holds one item per sequence number. A torn tail
   * is truncated. The last record is rewritten and synced, since a crash or a failed sync may have left it only
   * in the page cache.
   */
  async resume(
    sequences: readonly number[],
    contents: readonly folderReader.ISegmentContent[],
  ): Promise<void> {
    sequences.forEach((sequence, position) => {
      const entries = contents[position]?.entries ?? [];
      const highestIndex = Math.max(0, ...entries.map((entry) => entry.index));
      this.segments.push({ sequence, highestIndex });
    });
    this.nextSequence = (sequences.at(-1) ?? 0) + 1;
    const last = contents.at(-1);
    if (last === undefined) {
      return;
    }
    this.file = await this.disk.open(last.path);
    this.endOffset = last.scan.end;
    const lastRecord = last.scan.records.at(-1);
    if (lastRecord !== undefined) {
      await this.file.write(lastRecord.offset, records.encodeRecord(lastRecord.payload));
    }
    await this.file.truncate(this.endOffset);
    await this.file.sync();
  }

  /** Starts a new segment with the next write. */
  roll(): void {
    this.rollPending = true;
  }

  /** Writes one record with entries up to `highestIndex`; it is durable when the promise resolves. */
  async write(payload: Uint8Array, highestIndex: number): Promise<void> {
    this.writing = true;
    if (this.file === undefined || this.rollPending) {
      await this.openNextSegment();
    }
    const file = this.file as types.IFile;
    const segment = this.segments.at(-1) as ISegment;
    segment.highestIndex = Math.max(segment.highestIndex, highestIndex);
    const record = records.encodeRecord(payload);
    await file.write(this.endOffset, record);
    await file.sync();
    this.syncs += 1;
    this.endOffset += record.length;
    this.writing = false;
  }

  /** Whether `index` covers the oldest segment, and no write is under way that it may receive. */
  isCovered(index: number): boolean {
    const oldest = this.segments[0];
    const isUnused = this.segments.length > 1 || !this.writing;
    return oldest !== undefined && oldest.highestIndex <= index && isUnused;
  }

  /** Removes the oldest segments whose entries are all at or below `index`, except one that may get more writes. */
  async removeThrough(index: number): Promise<void> {
    for (let oldest = this.segments[0]; this.isRemovable(oldest, index); [oldest] = this.segments) {
      if (this.segments.length === 1) {
        await this.close();
      }
      await this.removeFile(oldest as ISegment);
      this.segments.shift();
    }
    await this.disk.syncFolder(this.folder);
  }

  /** Removes all segments; the removal is durable when the promise resolves. */
  async removeAll(): Promise<void> {
    await this.close();
    for (const segment of this.segments) {
      await this.removeFile(segment);
    }
    this.segments.length = 0;
    await this.disk.syncFolder(this.folder);
  }

  /** Closes the newest segment; the next write opens another. */
  async close(): Promise<void> {
    const { file } = this;
    this.file = undefined;
    this.endOffset = 0;
    await file?.close();
  }

  /** Whether `index` covers the segment and no write follows in it; the newest gets none once a roll is pending. */
  private isRemovable(segment: ISegment | undefined, index: number): boolean {
    if (segment === undefined || segment.highestIndex > index) {
      return false;
    }
    return this.segments.length > 1 || (this.rollPending && !this.writing);
  }

  private async openNextSegment(): Promise<void> {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    await this.close();
    this.file = await this.disk.open(
      nodePath.join(this.folder, folderReader.segmentName(sequence)),
    );
    await this.disk.syncFolder(this.folder);
    this.segments.push({ sequence, highestIndex: 0 });
    this.rollPending = false;
  }

  private async removeFile(segment: ISegment): Promise<void> {
    await this.disk.remove(nodePath.join(this.folder, folderReader.segmentName(segment.sequence)));
  }
}
