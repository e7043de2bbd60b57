import type * as control from '#wire/control.js';
import * as messages from '../../common/wire/Messages.js';
import * as accountingRows from './AccountingRows.js';
import type * as entryLeases from './EntryLeases.js';
import * as limits from './Limits.js';
import type * as types from './Types.js';

const { LIMITS } = limits;

type Report = messages.Message<control.wire.AccountingReport.$Properties>;
type Sequence = messages.Message<control.wire.AccountingSequence.$Properties>;
type Missing = messages.Message<control.wire.MissingReport.$Properties>;

/** Aggregates of finished requests by period, workspace, target, kind and outcome. */
export class AccountingState {
  private readonly rows = new Map<string, types.AccountingRow>();

  private readonly sequences = new Map<string, Sequence>();

  private missing: Missing[] = [];

  /** Adds a report, unless a report of this incarnation with the same or a higher sequence number was added. */
  report(req: Report, name: string, time: number): void {
    const last = this.sequences.get(req.incarnation);
    if (last !== undefined && req.sequence <= last.sequence) {
      return;
    }
    if (last !== undefined && req.sequence > last.sequence + 1) {
      this.recordMissing(req.incarnation, last.name, last.last, time);
    }
    const { incarnation, sequence } = req;
    this.sequences.delete(incarnation);
    this.sequences.set(incarnation, { incarnation, sequence, last: time, name });
    req.rows
      .slice(0, LIMITS.accountingRowsPerReport)
      .forEach((row) => accountingRows.addTo(this.rows, row));
    this.evict();
  }

  /** Records the gap in the reports of an entry process that ended without a farewell. */
  recordExpiredLease(lease: entryLeases.IExpiredLease, time: number): void {
    const last = this.sequences.get(lease.incarnation);
    if (!lease.farewell) {
      const from = last?.last ?? lease.lastRenewedAt;
      this.recordMissing(lease.incarnation, lease.name, from, Math.min(lease.lastRenewedAt, time));
    }
  }

  /** Merges old hours into days and drops old days. */
  expire(time: number): void {
    accountingRows.mergeOld(this.rows, time - LIMITS.hourlyAccountingRetentionMs);
    [...this.rows].forEach(([key, row]) => {
      if (row.period < time - LIMITS.accountingRetentionMs) {
        this.rows.delete(key);
      }
    });
  }

  /** Rows of periods that begin in [from, to), in ms since the epoch, and the gaps that overlap it. */
  query(from: number, to: number): control.wire.Accounting.$Properties {
    const rows = [...this.rows.values()].filter((row) => row.period >= from && row.period < to);
    const missing = this.missing.filter((item) => item.to >= from && item.from < to);
    return { rows: rows.map(messages.asProperties), missing };
  }

  /** The whole state as a message. */
  snapshot(): control.wire.AccountingState.$Properties {
    return {
      rows: [...this.rows.values()].map(messages.asProperties),
      sequences: [...this.sequences.values()],
      missing: this.missing,
    };
  }

  /** Replaces the whole state. */
  restore(state: messages.Message<control.wire.AccountingState.$Properties> | null): void {
    this.rows.clear();
    this.sequences.clear();
    state?.rows.forEach((row) => this.rows.set(accountingRows.keyOf(row), row));
    state?.sequences.forEach((item) => this.sequences.set(item.incarnation, item));
    this.missing = [...(state?.missing ?? [])];
  }

  private recordMissing(incarnation: string, name: string, from: number, to: number): void {
    this.missing = [...this.missing, { incarnation, name, from, to: Math.max(from, to) }];
    this.missing = this.missing.slice(-LIMITS.missingReports);
  }

  private evict(): void {
    const [oldest] = this.sequences.keys();
    if (this.sequences.size > LIMITS.accountingSequences && oldest !== undefined) {
      this.sequences.delete(oldest);
    }
    for (const key of this.rows.keys()) {
      if (this.rows.size <= LIMITS.accountingRows) {
        return;
      }
      this.rows.delete(key);
    }
  }
}
