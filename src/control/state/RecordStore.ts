import * as emitter from '../../common/Emitter.js';
import * as interner from './Interner.js';
import * as limits from './Limits.js';
import * as storedAnswers from './StoredAnswers.js';
import type * as types from './Types.js';

/** The records of one ledger group with their indexes; stored answers stay within their bound. */
export class RecordStore {
  private readonly records = new Map<string, types.LedgerRecord>();

  /** Ids of finished records, oldest end first. */
  private readonly finished = new Set<string>();

  /** Ids of finished records that hold a body, oldest end first. */
  private readonly withBody = new Set<string>();

  private readonly running = new Map<string, Set<string>>();

  private readonly names = new interner.Interner();

  private bodyBytes = 0;

  private unknownCount = 0;

  private readonly endedEmitter = new emitter.Emitter<string>();

  /** Fires with the id of a record that changed and is not running. */
  readonly onEnded = this.endedEmitter.event;

  /** Number of records. */
  get size(): number {
    return this.records.size;
  }

  /** Number of records whose outcome is unknown. */
  get unknown(): number {
    return this.unknownCount;
  }

  /** The record of an id. */
  get(id: string): types.LedgerRecord | undefined {
    return this.records.get(id);
  }

  /**
   * All records: those that have not finished, oldest intent first, then the others, oldest end first. Put into
   * another store in this order they give the same one, which replicas that start from a snapshot rely on.
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

  /** Running records of an owner. */
  runningOf(owner: string): readonly types.LedgerRecord[] {
    return [...(this.running.get(owner) ?? [])].flatMap((id) => this.records.get(id) ?? []);
  }

  /** Records that finished before a moment, oldest end first. */
  finishedBefore(moment: number): readonly types.LedgerRecord[] {
    const found: types.LedgerRecord[] = [];
    for (const id of this.finished) {
      const record = this.records.get(id);
      if (record === undefined || record.endedAt >= moment) {
        return found;
      }
      found.push(record);
    }
    return found;
  }

  /** Adds a record or replaces the one of its id. */
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

  /** Drops a record. */
  remove(id: string): void {
    const record = this.records.get(id);
    if (record !== undefined) {
      this.unindex(record);
      this.records.delete(id);
      this.endedEmitter.fire(id);
    }
  }

  private index(record: types.LedgerRecord): void {
    this.unknownCount += record.state === 'unknown' ? 1 : 0;
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
    this.unknownCount -= record.state === 'unknown' ? 1 : 0;
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
      this.keepDigest(id);
    }
  }

  private keepDigest(id: string): void {
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
