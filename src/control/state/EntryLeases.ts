import type * as control from '#wire/control.js';
import * as messages from '../../common/wire/Messages.js';
import * as limits from './Limits.js';
import type * as types from './Types.js';

type Beat = messages.Message<control.wire.Beat.$Properties>;

/** An entry process whose lease ended. */
export interface IExpiredLease {
  readonly incarnation: string;
  readonly name: string;
  /** It ended in order and reported everything. */
  readonly farewell: boolean;
  /** When it was last heard. */
  readonly heard: number;
}

/** Live entry processes; each incarnation owns the ledger records that it runs. */
export class EntryLeases {
  private readonly entries = new Map<string, types.EntryStatus>();

  /** All live entry processes. */
  list(): readonly types.EntryStatus[] {
    return [...this.entries.values()];
  }

  /** Whether the incarnation holds a lease. */
  has(incarnation: string): boolean {
    return this.entries.has(incarnation);
  }

  /** Renews leases, then ends those that ran out; `grace` renews all of them. */
  tick(beats: readonly Beat[], grace: boolean, time: number): readonly IExpiredLease[] {
    if (grace) {
      [...this.entries.values()].forEach((entry) => this.renew(entry, time));
    }
    const farewells = beats.filter((beat) => beat.farewell).map((beat) => beat.incarnation);
    beats.filter((beat) => !beat.farewell).forEach((beat) => this.renew(beat, time));
    return this.list()
      .filter(({ incarnation, leaseUntil }) => leaseUntil < time || farewells.includes(incarnation))
      .map(({ incarnation, name, leaseUntil }) => {
        this.entries.delete(incarnation);
        const heard = leaseUntil - limits.LIMITS.entryLeaseMs;
        return { incarnation, name, farewell: farewells.includes(incarnation), heard };
      });
  }

  /** Replaces all leases. */
  restore(entries: readonly types.EntryStatus[]): void {
    this.entries.clear();
    entries.forEach((entry) => this.entries.set(entry.incarnation, entry));
  }

  /** All leases as messages. */
  snapshot(): control.wire.EntryStatus.$Properties[] {
    return this.list().map(messages.asProperties);
  }

  private renew(entry: Pick<Beat, 'incarnation' | 'name' | 'zone'>, time: number): void {
    const { incarnation } = entry;
    const known = this.entries.get(incarnation);
    if (known === undefined && this.entries.size >= limits.LIMITS.entries) {
      return;
    }
    // A renewal need not name the entry again.
    const name = entry.name === '' ? (known?.name ?? '') : entry.name;
    const zone = entry.zone === '' ? (known?.zone ?? '') : entry.zone;
    const leaseUntil = time + limits.LIMITS.entryLeaseMs;
    this.entries.set(incarnation, { incarnation, name, zone, leaseUntil, versionInForce: 0 });
  }
}
