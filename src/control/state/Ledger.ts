import type * as control from '#wire/control.js';
import * as emitter from '../../common/Emitter.js';
import type * as messages from '../../common/wire/Messages.js';
import * as ledgerGroup from './LedgerGroup.js';
import * as ledgerKeys from './LedgerKeys.js';
import type * as types from './Types.js';

/** Groups that one replicated log runs today; more of them may move to logs of their own. */
export const LEDGER_GROUPS = 1;

/** The at-most-once ledger: each key belongs to one group, which decides on it alone. */
export class Ledger {
  private groups: readonly ledgerGroup.LedgerGroup[] = [];

  private readonly endedEmitter = new emitter.Emitter<string>();

  /** Fires with the id of a record that is no longer running. */
  readonly onEnded = this.endedEmitter.event;

  /** Splits the keys over `groupCount` groups. */
  constructor(private readonly groupCount = LEDGER_GROUPS) {
    this.reset();
  }

  /** Number of records. */
  get size(): number {
    return this.groups.reduce((sum, group) => sum + group.size, 0);
  }

  /** Number of records whose outcome is unknown. */
  get unknownCount(): number {
    return this.groups.reduce((sum, group) => sum + group.unknownCount, 0);
  }

  /** The record of an id. */
  get(id: string): types.LedgerRecord | undefined {
    return this.groupFor(id).get(id);
  }

  /** Up to `limit` records that pass the test. */
  list(limit: number, test: (record: types.LedgerRecord) => boolean): types.LedgerRecord[] {
    const found: types.LedgerRecord[] = [];
    for (const group of this.groups) {
      for (const record of group.list()) {
        if (found.length >= limit) {
          return found;
        }
        if (test(record)) {
          found.push(record);
        }
      }
    }
    return found;
  }

  /** See LedgerGroup.begin. */
  begin(req: types.LedgerBegin, time: number): ledgerGroup.Decision {
    const id = ledgerKeys.recordId(req);
    return this.groupFor(id).begin(id, req, time);
  }

  /** See LedgerGroup.finish. */
  finish(req: types.LedgerFinish, time: number): ledgerGroup.RefusalOrNone {
    const id = ledgerKeys.recordId(req);
    return this.groupFor(id).finish(id, req, time);
  }

  /** See LedgerGroup.resolve. */
  resolve(req: types.LedgerResolve, operator: string, time: number): ledgerGroup.RefusalOrNone {
    return this.groupFor(req.id).resolve(req, operator, time);
  }

  /** Makes the running records of a lapsed owner unknown. */
  abandon(owner: string, time: number): void {
    this.groups.forEach((group) => group.abandon(owner, time));
  }

  /** Ends the life of old records. */
  expire(time: number): void {
    this.groups.forEach((group) => group.expire(time));
  }

  /** Drops expired opaque keys that ended before a moment; returns how many. */
  forget(before: number): number {
    return this.groups.reduce((sum, group) => sum + group.forget(before), 0);
  }

  /** The whole ledger as a message. */
  snapshot(): control.wire.LedgerState.$Properties {
    return { groups: this.groups.map((group) => group.snapshot()) };
  }

  /** Replaces the whole ledger. */
  restore(state: messages.Message<control.wire.LedgerState.$Properties> | null): void {
    this.reset();
    state?.groups.forEach((group, at) => this.groups[at]?.restore(group));
  }

  private groupFor(id: string): ledgerGroup.LedgerGroup {
    const group = this.groups[ledgerKeys.groupOf(id, this.groupCount)];
    if (group === undefined) {
      throw new RangeError(`no group holds ${id}`);
    }
    return group;
  }

  private reset(): void {
    this.groups = Array.from({ length: this.groupCount }, () => new ledgerGroup.LedgerGroup());
    this.groups.forEach((group) => group.onEnded((id) => this.endedEmitter.fire(id)));
  }
}
