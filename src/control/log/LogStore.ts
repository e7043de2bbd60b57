import * as nodePath from 'node:path';
import type * as commonTypes from '../../common/Types.js';
import * as emitter from '../../common/Emitter.js';
import type * as services from '../../common/services/Services.js';
import type * as controlTypes from '../Types.js';
import * as atomicFile from './AtomicFile.js';
import * as codec from './Codec.js';
import * as dataFolder from './DataFolder.js';
import * as entryTail from './EntryTail.js';
import * as folderReader from './FolderReader.js';
import * as segmentWriter from './SegmentWriter.js';
import * as snapshotFile from './SnapshotFile.js';
import * as storageError from './StorageError.js';
import type * as types from './Types.js';

/** Entries kept in memory after a snapshot covers them, so that a slow follower needs no snapshot. */
const RETAINED_ENTRIES = 512;
const RETAINED_BYTES = 4 * 1024 * 1024;

/**
 * The durable log of one replica: entries, vote and snapshot in one data folder. Appends that
 * arrive during a sync share the next sync (group commit).
 *
 * @example
 * const store = await LogStore.open(new NodeDisk(), '/var/lib/anvildeck', 'c1', random, logService);
 * await store.append([{ index: store.lastIndex + 1, term: 1, kind: 'command', data }]);
 */
export class LogStore implements commonTypes.IDisposable {
  private tail: entryTail.EntryTail;

  private pending: types.IEntry[] = [];

  private waiters: types.IWaiter[] = [];

  private undurableLength = 0;

  private flushing = false;

  private durableThrough: number;

  /** Highest index that the running flush may report as durable: later appends replaced entries above it. */
  private flushDurableLimit = Infinity;

  private failure: Error | undefined;

  private readonly failureEmitter = new emitter.Emitter<Error>();

  /** Fires once when a write or sync fails; all later writes reject with the same error. */
  readonly onFailed = this.failureEmitter.event;

  private constructor(
    private readonly disk: types.IDisk,
    private readonly folder: dataFolder.IOpenFolder,
    private readonly writer: segmentWriter.SegmentWriter,
    private readonly logService: services.ILogService,
    private currentSnapshot: types.ISnapshot | undefined,
    private currentVote: types.IVote,
    entries: readonly types.IEntry[],
  ) {
    const { index = 0, term = 0 } = currentSnapshot?.meta ?? {};
    this.tail = new entryTail.EntryTail(index, term, entries);
    this.durableThrough = this.lastIndex;
  }

  /**
   * Opens or creates the data folder and locks it until `dispose`. A new folder records `founders`.
   *
   * @throws FolderLockedError, CorruptLogError, or StorageError when the disk fails.
   */
  static async open(
    disk: types.IDisk,
    path: string,
    id: string,
    random: commonTypes.IRandom,
    logService: services.ILogService,
    founders: readonly controlTypes.IFoundingMember[] = [],
  ): Promise<LogStore> {
    const folder = await dataFolder.openFolder(disk, path, id, random, founders);
    try {
      const content = await dataFolder.readContent(disk, path);
      content.tornTails.forEach((finding) => {
        const { file, offset, what } = finding;
        logService.warn('log-tail-cut', { file, offset, what });
      });
      const writer = new segmentWriter.SegmentWriter(disk, path);
      await writer.resume(content.segmentSequences, content.segments);
      if (content.areSegmentsObsolete) {
        await writer.removeAll();
      }
      const { snapshot, vote, entries } = content;
      return new LogStore(disk, folder, writer, logService, snapshot, vote, entries);
    } catch (err) {
      folder.lock.dispose();
      throw err;
    }
  }

  /** Identity of the replica that owns the folder. */
  get identity(): types.IIdentity {
    return this.folder.identity;
  }

  /** Newest durable snapshot; undefined before the first. */
  get snapshot(): types.ISnapshot | undefined {
    return this.currentSnapshot;
  }

  /** Durable term and vote. */
  get vote(): types.IVote {
    return this.currentVote;
  }

  /** Index of the last entry, including entries that are not yet durable. */
  get lastIndex(): number {
    return this.tail.lastIndex;
  }

  /** Term of the last entry, including entries that are not yet durable. */
  get lastTerm(): number {
    return this.tail.lastTerm;
  }

  /** Highest index up to which all entries are durable. */
  get durableIndex(): number {
    return this.durableThrough;
  }

  /** Total length of the data of the entries that were appended and are not yet durable. */
  get undurableBytes(): number {
    return this.undurableLength;
  }

  /** Whether `removeCoveredSegments` would remove segments, which were written while the snapshot was saved. */
  get hasCoveredSegments(): boolean {
    return this.writer.isCovered(this.currentSnapshot?.meta.index ?? 0);
  }

  /** Number of log syncs since the store was opened. */
  get syncs(): number {
    return this.writer.syncs;
  }

  /** Bytes in the newest segment, which a restart reads in addition to the snapshot. */
  get logBytes(): number {
    return this.writer.bytes;
  }

  /** Term of an entry or of the snapshot position; undefined when it is not in memory. */
  termAt(index: number): number | undefined {
    return this.tail.termAt(index);
  }

  /** The entry with this index; undefined when it is not in memory. */
  entry(index: number): types.IEntry | undefined {
    return this.tail.entryAt(index);
  }

  /** Entries from `index` on. Stops once their data reach `maxBytes`, but includes at least one entry if any. */
  entriesFrom(index: number, maxBytes: number): readonly types.IEntry[] {
    return this.tail.entriesFrom(index, maxBytes);
  }

  /**
   * Appends entries and replaces existing ones from the first index on. Resolves once the entries are durable;
   * rejects with StorageError, or with an error once the store is disposed.
   */
  append(entries: readonly types.IEntry[]): Promise<void> {
    if (this.failure !== undefined) {
      return Promise.reject(this.failure);
    }
    const first = entries[0];
    if (first !== undefined) {
      this.truncateFrom(first.index);
    }
    this.tail.push(entries);
    this.pending.push(...entries);
    this.undurableLength += totalLength(entries);
    const done = new Promise<void>((resolve, reject) => {
      this.waiters.push({ resolve, reject });
    });
    void this.flush();
    return done;
  }

  /** Makes a term and vote durable; rejects with StorageError. */
  async saveVote(vote: types.IVote): Promise<void> {
    const path = nodePath.join(this.folder.path, folderReader.VOTE_FILE);
    await this.failOnError('writing the vote', () =>
      atomicFile.writeAtomically(this.disk, path, [codec.encodeVote(vote)]),
    );
    this.currentVote = vote;
  }

  /** Starts a new segment with the next write, so that a snapshot can remove the segments before it. */
  rollSegment(): void {
    this.writer.roll();
  }

  /** Makes a snapshot of applied entries durable, then removes the segments and entries that it covers. */
  async saveSnapshot(snapshot: types.ISnapshot): Promise<void> {
    const previous = this.currentSnapshot;
    await this.writeSnapshot(snapshot);
    await this.failOnError('removing old segments', async () => {
      await this.writer.removeThrough(snapshot.meta.index);
      await snapshotFile.removePreviousSnapshot(this.disk, this.folder.path, previous, snapshot);
    });
    this.tail.compact(snapshot.meta.index, RETAINED_ENTRIES, RETAINED_BYTES);
  }

  /** Removes the segments whose entries are all covered by the newest snapshot; must not run during a save. */
  async removeCoveredSegments(): Promise<void> {
    this.writer.roll();
    await this.failOnError('removing old segments', () =>
      this.writer.removeThrough(this.currentSnapshot?.meta.index ?? 0),
    );
  }

  /** Makes a snapshot received from the leader durable and replaces the whole log with it. */
  async installSnapshot(snapshot: types.ISnapshot): Promise<void> {
    const previous = this.currentSnapshot;
    await this.append([]);
    await this.writeSnapshot(snapshot);
    await this.failOnError('removing old segments', async () => {
      await this.writer.removeAll();
      await snapshotFile.removePreviousSnapshot(this.disk, this.folder.path, previous, snapshot);
    });
    const { index, term } = snapshot.meta;
    this.tail = new entryTail.EntryTail(index, term, []);
    this.durableThrough = index;
  }

  /** Free space in bytes on the file system of the data folder. */
  freeBytes(): Promise<number> {
    return this.disk.freeBytes(this.folder.path);
  }

  /** @inheritdoc */
  dispose(): void {
    this.failure ??= new Error('log closed');
    this.folder.lock.dispose();
    this.failureEmitter.dispose();
    if (!this.flushing) {
      void this.writer.close().catch(() => {});
    }
  }

  private truncateFrom(index: number): void {
    this.tail.truncateFrom(index);
    this.durableThrough = Math.min(this.durableThrough, index - 1);
    this.flushDurableLimit = Math.min(this.flushDurableLimit, index - 1);
  }

  /** The only task that writes entries: each pass takes all pending entries and syncs them once. */
  private async flush(): Promise<void> {
    if (this.flushing) {
      return;
    }
    this.flushing = true;
    while (this.waiters.length > 0 && this.failure === undefined) {
      const { waiters, pending } = this;
      this.waiters = [];
      this.pending = [];
      await this.writeBatch(pending, waiters);
    }
    this.flushing = false;
    if (this.failure !== undefined) {
      const { failure } = this;
      this.waiters.splice(0).forEach((waiter) => waiter.reject(failure));
      await this.writer.close().catch(() => {});
    }
  }

  private async writeBatch(
    batch: readonly types.IEntry[],
    waiters: readonly types.IWaiter[],
  ): Promise<void> {
    const last = batch.at(-1);
    this.flushDurableLimit = Infinity;
    try {
      if (last !== undefined) {
        const highest = batch.reduce((index, entry) => Math.max(index, entry.index), 0);
        const payload = codec.encodeBatch(batch);
        await this.failOnError('writing the log', () => this.writer.write(payload, highest));
        this.durableThrough = Math.min(last.index, this.flushDurableLimit);
        this.undurableLength -= totalLength(batch);
      }
      waiters.forEach((waiter) => waiter.resolve());
    } catch (err) {
      waiters.forEach((waiter) => waiter.reject(err as Error));
    }
  }

  private async writeSnapshot(snapshot: types.ISnapshot): Promise<void> {
    await this.failOnError('writing a snapshot', () =>
      snapshotFile.writeSnapshot(this.disk, this.folder.path, snapshot),
    );
    this.currentSnapshot = snapshot;
    const { meta, data } = snapshot;
    this.logService.info('snapshot-saved', { index: meta.index, bytes: data.length });
  }

  private async failOnError(operation: string, action: () => Promise<void>): Promise<void> {
    if (this.failure !== undefined) {
      throw this.failure;
    }
    try {
      await action();
    } catch (err) {
      this.fail(new storageError.StorageError(operation, err));
      throw this.failure as unknown as Error;
    }
  }

  private fail(err: Error): void {
    if (this.failure !== undefined) {
      return;
    }
    this.failure = err;
    this.logService.error('storage-failed', { reason: err.message });
    this.failureEmitter.fire(err);
  }
}

function totalLength(entries: readonly types.IEntry[]): number {
  return entries.reduce((sum, { data }) => sum + data.length, 0);
}
