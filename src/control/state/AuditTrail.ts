import type * as control from '#wire/control.js';
import * as messages from '../../common/wire/Messages.js';
import * as limits from './Limits.js';
import type * as types from './Types.js';

/** Bounded log of operator actions. */
export class AuditTrail {
  private entries: types.AuditEntry[] = [];

  /** Adds an entry; above the limit the oldest one is removed. */
  add(entry: types.AuditEntry): void {
    this.entries.push(entry);
    if (this.entries.length > limits.LIMITS.auditEntries) {
      this.entries.shift();
    }
  }

  /** Up to `limit` entries, newest first. */
  list(limit: number): readonly types.AuditEntry[] {
    return this.entries.slice(-limit).reverse();
  }

  /** All entries as messages, oldest first. */
  snapshot(): control.wire.AuditEntry.$Properties[] {
    return this.entries.map(messages.asProperties);
  }

  /** Replaces all entries. */
  restore(entries: readonly types.AuditEntry[]): void {
    this.entries = [...entries];
  }
}
