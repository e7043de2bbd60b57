import * as control from '#wire/control.js';
import * as pattern from 'ts-pattern';
import * as messages from '../../common/wire/Messages.js';
import * as ledgerKeys from './LedgerKeys.js';
import * as limits from './Limits.js';
import * as recordStore from './RecordStore.js';
import * as storedAnswers from './StoredAnswers.js';
import * as tombstoneTable from './TombstoneTable.js';
import type * as types from './Types.js';

const { LIMITS } = limits;
const { DecisionState, OutcomeState } = control.wire;

/** Decision on `begin`; `state` tells whether the call is granted, running, finished, unknown or rejected. */
export type Decision = control.wire.LedgerDecision.$Properties;

/** Reason for rejecting a command; undefined when the command was accepted. */
export type RefusalOrNone = control.wire.Refusal.$Properties | undefined;

/**
 * One range of keys of the at-most-once ledger.
 *
 * Invariant: once `begin` has granted a key to a token, no other token is granted for it unless the owner or an
 * operator declares that no byte of the call was written. See docs/design/ledger.md.
 */
export class LedgerGroup {
  private readonly records = new recordStore.RecordStore();

  /** Time by released token at which the token is removed, in ms since the epoch. */
  private readonly released = new Map<string, number>();

  private readonly tombstones = new tombstoneTable.TombstoneTable();

  /** Fires with the id of a record that is no longer running. */
  readonly onEnded = this.records.onEnded;

  /** Number of records. */
  get size(): number {
    return this.records.size;
  }

  /** Number of records whose outcome is unknown. */
  get unknownCount(): number {
    return this.records.unknownCount;
  }

  /** The record with this id; undefined when it is unknown. */
  get(id: string): types.LedgerRecord | undefined {
    return this.records.get(id);
  }

  /** All records, in the order of RecordStore.list. */
  list(): Iterable<types.LedgerRecord> {
    return this.records.list();
  }

  /** Grants a key to one token; any other call gets the state of the key. */
  begin(id: string, req: types.LedgerBegin, time: number): Decision {
    const record = this.records.get(id);
    if (record !== undefined) {
      return this.decideKnown(record, req);
    }
    if (this.isTooOld(id, req, time)) {
      return { state: DecisionState.DECISION_TOO_OLD };
    }
    const refusal = this.refuseBegin(req);
    if (refusal !== undefined) {
      return { state: DecisionState.DECISION_REFUSED, message: refusal };
    }
    this.addRunning(id, req, time);
    return { state: DecisionState.DECISION_GRANTED, token: req.token };
  }

  /** Records the outcome of a granted call. A finished record keeps its first outcome. */
  finish(id: string, req: types.LedgerFinish, time: number): RefusalOrNone {
    const record = this.records.get(id);
    const notRun = req.outcome === OutcomeState.OUTCOME_NOT_RUN;
    if (notRun) {
      this.release(req.token, time);
    }
    if (record === undefined || record.token !== req.token) {
      return notRun ? undefined : { code: 'no-record', message: 'the token holds no record' };
    }
    if (record.state === 'finished') {
      const same = req.outcome === OutcomeState.OUTCOME_FINISHED && record.resolvedBy === '';
      return same ? undefined : { code: 'already-ended', message: 'the record has already ended' };
    }
    this.settle(record, req, time);
    return undefined;
  }

  /** Applies the decision of an operator on a record whose outcome is unknown. */
  resolve(req: types.LedgerResolve, operator: string, time: number): RefusalOrNone {
    const record = this.records.get(req.id);
    if (record === undefined) {
      return { code: 'no-record', message: `no record ${req.id}: it was removed or never existed` };
    }
    if (req.ran && record.state === 'finished' && record.resolvedBy === operator) {
      // The same decision again: the first answer to the operator was lost.
      return undefined;
    }
    if (record.state !== 'unknown') {
      return { code: 'not-unknown', message: `the record is ${record.state}, not unknown` };
    }
    if (!req.ran && time < record.endedAt + LIMITS.resolveNotRunAfterMs) {
      const seconds = LIMITS.resolveNotRunAfterMs / 1000;
      const message = `its owner may still write to the target: wait until ${seconds} s after it became unknown`;
      return { code: 'too-early', message };
    }
    if (!req.ran) {
      this.records.remove(record.id);
      this.release(record.token, time);
      return undefined;
    }
    const resolution = { resolvedBy: operator, resolveReason: req.reason };
    this.end({ ...record, ...resolution }, storedAnswers.resolvedAnswer(req.reason), time);
    return undefined;
  }

  /** Marks the running records of an owner whose lease ended as unknown. They are never released automatically. */
  expireOwner(owner: string, time: number): void {
    this.records.runningOf(owner).forEach((record) => this.becomeUnknown(record, time));
  }

  /** Removes finished records and their answers after the retention period. Opaque keys remain known as too old. */
  expire(time: number): void {
    const cutoff = time - LIMITS.ledgerRetentionMs - LIMITS.ledgerClockSkewMs;
    this.removeExpiredTokens(time);
    this.records.finishedBefore(cutoff).forEach((record) => {
      if (record.keyTime === 0) {
        this.tombstones.add(record.id, record.endedAt);
      }
      this.records.remove(record.id);
    });
  }

  /** Removes expired opaque keys that ended before this time (ms since the epoch); returns their number. */
  forget(before: number): number {
    return this.tombstones.removeEndedBefore(before);
  }

  /** The whole group as a message. */
  snapshot(): control.wire.LedgerGroupState.$Properties {
    const ids: string[] = [];
    const endedAt: number[] = [];
    this.tombstones.forEach((id, ended) => {
      ids.push(id);
      endedAt.push(ended);
    });
    return {
      records: [...this.records.list()].map(messages.asProperties),
      tombstones: { ids: Buffer.from(ids.join(''), 'hex'), endedAt },
      released: [...this.released].map(([token, until]) => ({ token, until })),
    };
  }

  /** Fills an empty group from a message. */
  restore(state: messages.Message<control.wire.LedgerGroupState.$Properties>): void {
    state.records.forEach((record) => this.records.put(record));
    state.released.forEach(({ token, until }) => this.released.set(token, until));
    const ids = Buffer.from(state.tombstones?.ids ?? new Uint8Array()).toString('hex');
    const width = ledgerKeys.ID_HEX_CHARS;
    state.tombstones?.endedAt.forEach((endedAt, at) => {
      this.tombstones.add(ids.slice(at * width, (at + 1) * width), endedAt);
    });
  }

  private decideKnown(record: types.LedgerRecord, req: types.LedgerBegin): Decision {
    if (record.bodyHash !== req.bodyHash) {
      return { state: DecisionState.DECISION_KEY_REUSED };
    }
    return pattern
      .match(record.state as types.RecordState)
      .with('running', () =>
        record.token === req.token
          ? { state: DecisionState.DECISION_GRANTED, token: record.token }
          : { state: DecisionState.DECISION_RUNNING },
      )
      .with('finished', () => ({
        state: DecisionState.DECISION_FINISHED,
        answer: record.answer === null ? null : messages.asProperties(record.answer),
      }))
      .with('unknown', () => ({ state: DecisionState.DECISION_UNKNOWN, message: record.id }))
      .exhaustive();
  }

  private isTooOld(id: string, req: types.LedgerBegin, time: number): boolean {
    const cutoff = time - LIMITS.ledgerRetentionMs;
    const keyTime = ledgerKeys.keyTime(req.key);
    const createdTooLongAgo = req.createdAt > 0 && req.createdAt < cutoff;
    return createdTooLongAgo || (keyTime > 0 && keyTime < cutoff) || this.tombstones.has(id);
  }

  private refuseBegin(req: types.LedgerBegin): string | undefined {
    if (this.released.has(req.token)) {
      return 'the token was released before';
    }
    if (req.key.length > LIMITS.keyChars) {
      return `the key is longer than ${LIMITS.keyChars} characters`;
    }
    if (this.records.size >= LIMITS.ledgerRecords) {
      return 'the ledger is full of records';
    }
    // Each record may become an expired key, so reserve its slot now.
    if (this.tombstones.size + this.records.size >= LIMITS.ledgerTombstones) {
      return 'the ledger is full of expired keys: see `ledger forget`';
    }
    return undefined;
  }

  private addRunning(id: string, req: types.LedgerBegin, time: number): void {
    const keyTime = ledgerKeys.keyTime(req.key);
    this.records.put({
      id,
      workspace: req.workspace,
      target: req.target,
      key: req.key,
      bodyHash: req.bodyHash,
      requestId: req.requestId,
      token: req.token,
      owner: req.incarnation,
      state: 'running',
      beganAt: time,
      endedAt: 0,
      answer: null,
      resolvedBy: '',
      resolveReason: '',
      // A key whose creation time is too far ahead of the clock is treated as opaque.
      keyTime: keyTime <= time + LIMITS.ledgerClockSkewMs ? keyTime : 0,
    });
  }

  private settle(record: types.LedgerRecord, req: types.LedgerFinish, time: number): void {
    pattern
      .match(req.outcome)
      .with(OutcomeState.OUTCOME_FINISHED, () => this.end(record, req.answer, time))
      .with(OutcomeState.OUTCOME_NOT_RUN, () => this.records.remove(record.id))
      .otherwise(() => this.becomeUnknown(record, time));
  }

  private end(record: types.LedgerRecord, answer: types.RecordedAnswer | null, time: number): void {
    const stored = answer === null ? null : storedAnswers.boundAnswer(answer);
    this.records.put({ ...record, state: 'finished', endedAt: time, answer: stored });
  }

  private becomeUnknown(record: types.LedgerRecord, time: number): void {
    if (record.state === 'running') {
      this.records.put({ ...record, state: 'unknown', endedAt: time });
    }
  }

  private release(token: string, time: number): void {
    this.released.set(token, time + LIMITS.releasedTokenRetentionMs);
    const [oldest] = this.released.keys();
    if (this.released.size > LIMITS.releasedTokens && oldest !== undefined) {
      this.released.delete(oldest);
    }
  }

  private removeExpiredTokens(time: number): void {
    const expired = takeWhile(
      this.released.keys(),
      (token) => (this.released.get(token) ?? 0) < time,
    );
    [...expired].forEach((token) => this.released.delete(token));
  }
}

/** Yields items up to the first one that fails the test. */
function* takeWhile<T>(items: Iterable<T>, test: (item: T) => boolean): Iterable<T> {
  for (const item of items) {
    if (!test(item)) {
      return;
    }
    yield item;
  }
}
