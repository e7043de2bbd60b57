import type * as control from '#wire/control.js';
import * as emitter from '../../common/Emitter.js';
import type * as messages from '../../common/wire/Messages.js';
import * as ledgerGroup from './LedgerGroup.js';
import * as ledgerKeys from './LedgerKeys.js';
import type * as types from './Types.js';

/** Number of groups, all in one replicated log; with more groups, each could have a separate log. */
export const LEDGER_GROUPS = 1;

/** The at-most-once ledger. Each key belongs to one group, which decides on it independently of the others. */
export class Ledger {
  private groups: readonly ledgerGroup.LedgerGroup[] = [];

  private readonly endedEmitter = new emitter.Emitter<string>();

  /** Fires with the id of a record that is no longer running. */
  readonly onEnded = this.endedEmitter.event;

  /** Distributes the keys over `groupCount` groups. */
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

  /** The record with this id; undefined when it is unknown. */
  get(id: string): types.LedgerRecord | undefined {
    return this.groupFor(id).get(id);
  }

  /** Up to `limit` records for which `test` returns true. */
  list(limit: number, test: (record: types.LedgerRecord) => boolean): types.LedgerRecord[] {
    const result: types.LedgerRecord[] = [];
    for (const group of this.groups) {
      for (const record of group.list()) {
        if (result.length >= limit) {
          return result;
        }
        if (test(record)) {
          result.push(record);
        }
      }
    }
    return result;
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

  /** Marks the running records of an owner whose lease ended as unknown. */
  expireOwner(owner: string, time: number): void {
    this.groups.forEach((group) => group.expireOwner(owner, time));
  }

  /** Removes records after their retention period; see LedgerGroup.expire. */
  expire(time: number): void {
    this.groups.forEach((group) => group.expire(time));
  }

  /** Removes expired opaque keys that ended before this time (ms since the epoch); returns their number. */
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
      throw new RangeError(`no ledger group for record id ${id}`);
    }
    return group;
  }

  private reset(): void {
    this.groups = Array.from({ length: this.groupCount }, () => new ledgerGroup.LedgerGroup());
    this.groups.forEach((group) => group.onEnded((id) => this.endedEmitter.fire(id)));
  }
}
