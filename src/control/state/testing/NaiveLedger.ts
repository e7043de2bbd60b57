import * as ledgerKeys from '../LedgerKeys.js';
import * as limits from '../Limits.js';

const { LIMITS } = limits;

/** What the naive ledger says, in the words of the wire. */
export type NaiveDecision =
  'GRANTED' | 'RUNNING' | 'FINISHED' | 'UNKNOWN' | 'TOO_OLD' | 'KEY_REUSED' | 'REFUSED';

interface INaiveRecord {
  readonly bodyHash: string;
  readonly token: string;
  readonly owner: string;
  readonly state: 'running' | 'finished' | 'unknown' | 'gone';
  readonly endedAt: number;
  readonly timed: boolean;
  readonly resolved: boolean;
}

/** The rules of the ledger written down once more, without bounds, indexes or groups: it forgets nothing. */
export class NaiveLedger {
  private readonly records = new Map<string, INaiveRecord>();

  private readonly released = new Map<string, number>();

  /** Decision on an intent. */
  begin(key: string, bodyHash: string, token: string, owner: string, time: number): NaiveDecision {
    const oldest = time - LIMITS.ledgerRetentionMs;
    const carried = ledgerKeys.keyTime(key);
    const record = this.records.get(key);
    if (record !== undefined && record.state !== 'gone') {
      return decide(record, bodyHash, token);
    }
    if (record !== undefined || (carried > 0 && carried < oldest)) {
      return 'TOO_OLD';
    }
    if (this.released.has(token)) {
      return 'REFUSED';
    }
    const timed = carried > 0 && carried <= time + LIMITS.ledgerClockSkewMs;
    this.records.set(key, {
      bodyHash,
      token,
      owner,
      state: 'running',
      endedAt: 0,
      timed,
      resolved: false,
    });
    return 'GRANTED';
  }

  /** Ends a call; false when it is refused. */
  finish(
    key: string,
    token: string,
    end: 'finished' | 'not-run' | 'unknown',
    time: number,
  ): boolean {
    const record = this.records.get(key);
    if (end === 'not-run') {
      this.released.set(token, time + LIMITS.releasedTokenRetentionMs);
    }
    if (record?.token !== token || record.state === 'gone') {
      return end === 'not-run';
    }
    if (record.state === 'finished') {
      return end === 'finished';
    }
    if (end === 'not-run') {
      this.records.delete(key);
    } else if (end === 'finished' || record.state === 'running') {
      this.records.set(key, { ...record, state: end, endedAt: time });
    }
    return true;
  }

  /** An operator's word; false when it is refused. */
  resolve(key: string, ran: boolean, time: number): boolean {
    const record = this.records.get(key);
    if (record?.state !== 'unknown') {
      return ran && record?.state === 'finished' && record.resolved;
    }
    if (!ran && time < record.endedAt + LIMITS.resolveNotRunAfterMs) {
      return false;
    }
    if (ran) {
      this.records.set(key, { ...record, state: 'finished', endedAt: time, resolved: true });
    } else {
      this.records.delete(key);
      this.released.set(record.token, time + LIMITS.releasedTokenRetentionMs);
    }
    return true;
  }

  /** An owner is dead. */
  abandon(owner: string, time: number): void {
    this.records.forEach((record, key) => {
      if (record.owner === owner && record.state === 'running') {
        this.records.set(key, { ...record, state: 'unknown', endedAt: time });
      }
    });
  }

  /** Ends the life of old records. */
  expire(time: number): void {
    this.released.forEach((until, token) => {
      if (until < time) {
        this.released.delete(token);
      }
    });
    const oldest = time - LIMITS.ledgerRetentionMs - LIMITS.ledgerClockSkewMs;
    this.records.forEach((record, key) => {
      if (record.state === 'finished' && record.endedAt < oldest) {
        this.records.set(key, { ...record, state: 'gone' });
      }
    });
  }

  /** Drops expired opaque keys. */
  forget(before: number): void {
    this.records.forEach((record, key) => {
      if (record.state === 'gone' && !record.timed && record.endedAt < before) {
        this.records.delete(key);
      }
    });
  }
}

function decide(record: INaiveRecord, bodyHash: string, token: string): NaiveDecision {
  if (record.bodyHash !== bodyHash) {
    return 'KEY_REUSED';
  }
  if (record.state === 'running') {
    return record.token === token ? 'GRANTED' : 'RUNNING';
  }
  return record.state === 'finished' ? 'FINISHED' : 'UNKNOWN';
}
