import * as ledgerKeys from '../LedgerKeys.js';
import * as limits from '../Limits.js';

const { LIMITS } = limits;

/** Decisions on `begin`, named as in the protobuf enum without its prefix. */
export type ReferenceDecision =
  'GRANTED' | 'RUNNING' | 'FINISHED' | 'UNKNOWN' | 'TOO_OLD' | 'KEY_REUSED' | 'REFUSED';

interface IReferenceRecord {
  readonly bodyHash: string;
  readonly token: string;
  readonly owner: string;
  readonly state: 'running' | 'finished' | 'unknown' | 'gone';
  readonly endedAt: number;
  readonly hasKeyTime: boolean;
  readonly resolved: boolean;
}

/** Reference model of the ledger rules for tests, without bounds, indexes or groups. It keeps expired records. */
export class ReferenceLedger {
  private readonly records = new Map<string, IReferenceRecord>();

  private readonly released = new Map<string, number>();

  /** Decides on the start of a call. */
  begin(
    key: string,
    bodyHash: string,
    token: string,
    owner: string,
    time: number,
  ): ReferenceDecision {
    const cutoff = time - LIMITS.ledgerRetentionMs;
    const keyTime = ledgerKeys.keyTime(key);
    const record = this.records.get(key);
    if (record !== undefined && record.state !== 'gone') {
      return decide(record, bodyHash, token);
    }
    if (record !== undefined || (keyTime > 0 && keyTime < cutoff)) {
      return 'TOO_OLD';
    }
    if (this.released.has(token)) {
      return 'REFUSED';
    }
    const hasKeyTime = keyTime > 0 && keyTime <= time + LIMITS.ledgerClockSkewMs;
    this.records.set(key, {
      bodyHash,
      token,
      owner,
      state: 'running',
      endedAt: 0,
      hasKeyTime,
      resolved: false,
    });
    return 'GRANTED';
  }

  /** Records the outcome of a call; returns false when it is rejected. */
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

  /** Applies the decision of an operator; returns false when it is rejected. */
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

  /** Marks the running records of an owner whose lease ended as unknown. */
  expireOwner(owner: string, time: number): void {
    this.records.forEach((record, key) => {
      if (record.owner === owner && record.state === 'running') {
        this.records.set(key, { ...record, state: 'unknown', endedAt: time });
      }
    });
  }

  /** Removes expired tokens and marks finished records as gone after their retention period. */
  expire(time: number): void {
    this.released.forEach((until, token) => {
      if (until < time) {
        this.released.delete(token);
      }
    });
    const cutoff = time - LIMITS.ledgerRetentionMs - LIMITS.ledgerClockSkewMs;
    this.records.forEach((record, key) => {
      if (record.state === 'finished' && record.endedAt < cutoff) {
        this.records.set(key, { ...record, state: 'gone' });
      }
    });
  }

  /** Removes expired opaque keys that ended before this time, in ms since the epoch. */
  forget(before: number): void {
    this.records.forEach((record, key) => {
      if (record.state === 'gone' && !record.hasKeyTime && record.endedAt < before) {
        this.records.delete(key);
      }
    });
  }
}

function decide(record: IReferenceRecord, bodyHash: string, token: string): ReferenceDecision {
  if (record.bodyHash !== bodyHash) {
    return 'KEY_REUSED';
  }
  if (record.state === 'running') {
    return record.token === token ? 'GRANTED' : 'RUNNING';
  }
  return record.state === 'finished' ? 'FINISHED' : 'UNKNOWN';
}
