import type * as control from '#wire/control.js';
import * as messages from '../../common/wire/Messages.js';
import * as limits from './Limits.js';
import type * as types from './Types.js';

type Beat = messages.Message<control.wire.Beat.$Properties>;

/** The ended lease of an entry process. */
export interface IExpiredLease {
  readonly incarnation: string;
  readonly name: string;
  /** True when the process shut down regularly and reported all of its accounting. */
  readonly farewell: boolean;
  /** Time of its last lease renewal, in ms since the epoch. */
  readonly lastRenewedAt: number;
}

/** Leases of the live entry processes. Each incarnation owns the ledger records of the calls that it runs. */
export class EntryLeases {
  private readonly entries = new Map<string, types.EntryStatus>();

  /** All entry processes that hold a lease. */
  list(): readonly types.EntryStatus[] {
    return [...this.entries.values()];
  }

  /** Whether the incarnation holds a lease. */
  has(incarnation: string): boolean {
    return this.entries.has(incarnation);
  }

  /**
   * Renews the leases of `beats`, or all of them with `grace`, then ends and returns those that expired or whose
   * process said farewell.
   */
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
        const lastRenewedAt = leaseUntil - limits.LIMITS.entryLeaseMs;
        return { incarnation, name, farewell: farewells.includes(incarnation), lastRenewedAt };
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
    // A renewal may omit the name and zone of the entry.
    const name = entry.name === '' ? (known?.name ?? '') : entry.name;
    const zone = entry.zone === '' ? (known?.zone ?? '') : entry.zone;
    const leaseUntil = time + limits.LIMITS.entryLeaseMs;
    this.entries.set(incarnation, { incarnation, name, zone, leaseUntil, versionInForce: 0 });
  }
}
