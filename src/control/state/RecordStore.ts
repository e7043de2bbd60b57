import * as emitter from '../../common/Emitter.js';
import * as interner from './Interner.js';
import * as limits from './Limits.js';
import * as storedAnswers from './StoredAnswers.js';
import type * as types from './Types.js';

/** Records of one ledger group with their indexes. Bounds the total size of the stored answers. */
export class RecordStore {
  private readonly records = new Map<string, types.LedgerRecord>();

  /** Ids of finished records, earliest finished first. */
  private readonly finished = new Set<string>();

  /** Ids of finished records with a stored body, earliest finished first. */
  private readonly withBody = new Set<string>();

  /** Ids of running records by owner. */
  private readonly running = new Map<string, Set<string>>();

  private readonly names = new interner.Interner();

  private bodyBytes = 0;

  private unknownRecords = 0;

  private readonly endedEmitter = new emitter.Emitter<string>();

  /** Fires with the id of a record that was stored in a state other than running, or removed. */
  readonly onEnded = this.endedEmitter.event;

  /** Number of records. */
  get size(): number {
    return this.records.size;
  }

  /** Number of records whose outcome is unknown. */
  get unknownCount(): number {
    return this.unknownRecords;
  }

  /** The record with this id; undefined when it is unknown. */
  get(id: string): types.LedgerRecord | undefined {
    return this.records.get(id);
  }

  /**
   * All records: first unfinished ones in order of their start, then finished ones in order of their end. Adding
   * them in this order to an empty store reproduces this store, on which the restore of a snapshot relies.
   */
  *list(): Iterable<types.LedgerRecord> {
    for (const record of this.records.values()) {
      if (record.state !== 'finished') {
        yield record;
      }
    }
    for (const id of this.finished) {
      const record = this.records.get(id);
      if (record !== undefined) {
        yield record;
      }
    }
  }

  /** Running records of an entry incarnation. */
  runningOf(owner: string): readonly types.LedgerRecord[] {
    return [...(this.running.get(owner) ?? [])].flatMap((id) => this.records.get(id) ?? []);
  }

  /** Records that finished before `cutoff` (ms since the epoch), earliest first. */
  finishedBefore(cutoff: number): readonly types.LedgerRecord[] {
    const result: types.LedgerRecord[] = [];
    for (const id of this.finished) {
      const record = this.records.get(id);
      if (record === undefined || record.endedAt >= cutoff) {
        return result;
      }
      result.push(record);
    }
    return result;
  }

  /** Adds a record or replaces the one with the same id. */
  put(record: types.LedgerRecord): void {
    const known = this.records.get(record.id);
    if (known !== undefined) {
      this.unindex(known);
    }
    const { names } = this;
    const [workspace, target] = [names.intern(record.workspace), names.intern(record.target)];
    const next = { ...record, workspace, target, owner: names.intern(record.owner) };
    this.records.set(next.id, next);
    this.index(next);
    if (next.state !== 'running') {
      this.endedEmitter.fire(next.id);
    }
  }

  /** Removes a record and fires `onEnded`; does nothing for an unknown id. */
  remove(id: string): void {
    const record = this.records.get(id);
    if (record !== undefined) {
      this.unindex(record);
      this.records.delete(id);
      this.endedEmitter.fire(id);
    }
  }

  private index(record: types.LedgerRecord): void {
    this.unknownRecords += record.state === 'unknown' ? 1 : 0;
    if (record.state === 'running') {
      const ids = this.running.get(record.owner) ?? new Set();
      this.running.set(record.owner, ids.add(record.id));
    }
    if (record.state === 'finished') {
      this.finished.add(record.id);
      this.indexBody(record);
    }
  }

  private unindex(record: types.LedgerRecord): void {
    this.unknownRecords -= record.state === 'unknown' ? 1 : 0;
    const ids = this.running.get(record.owner);
    ids?.delete(record.id);
    if (ids?.size === 0) {
      this.running.delete(record.owner);
    }
    this.finished.delete(record.id);
    this.dropBody(record);
  }

  private indexBody(record: types.LedgerRecord): void {
    const bytes = record.answer?.body.length ?? 0;
    if (bytes === 0) {
      return;
    }
    this.withBody.add(record.id);
    this.bodyBytes += bytes;
    for (const id of this.withBody) {
      if (this.bodyBytes <= limits.LIMITS.totalAnswerBytes) {
        return;
      }
      this.replaceBodyByDigest(id);
    }
  }

  private replaceBodyByDigest(id: string): void {
    const record = this.records.get(id);
    if (record !== undefined && record.answer !== null) {
      this.dropBody(record);
      this.records.set(id, { ...record, answer: storedAnswers.digestOf(record.answer) });
    }
  }

  private dropBody(record: types.LedgerRecord): void {
    if (this.withBody.delete(record.id)) {
      this.bodyBytes -= record.answer?.body.length ?? 0;
    }
  }
}
