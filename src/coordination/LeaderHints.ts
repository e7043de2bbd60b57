import type * as commonTypes from '../common/Types.js';
import type * as leaderSearch from './LeaderSearch.js';

/**
 * Time for which nobody's word leads back to a leader that could not be reached; followers name it until they elect
 * another one.
 */
const UNREACHABLE_MS = 1000;

/** What control VMs say of the leader, and which of it an entry VM believes. */
export class LeaderHints {
  private latest: leaderSearch.ILeader | undefined;

  private newestTerm = 0;

  private unreachable: (leaderSearch.ILeader & { readonly until: commonTypes.Millis }) | undefined;

  /** Starts without a hint. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Term of the latest coordinator that had a quorum; 0 if there was none. */
  get term(): number {
    return this.newestTerm;
  }

  /** Address of the leader that was named last; undefined if none is believed to lead. */
  get address(): string | undefined {
    return this.latest?.address;
  }

  /** Returns the address of the leader that was named last, and forgets it. */
  take(): string | undefined {
    const { address } = this;
    this.latest = undefined;
    return address;
  }

  /** Records whom a control VM named; a leader of an earlier term than a known one, or one out of reach, is ignored. */
  record(leader: leaderSearch.ILeader | undefined): void {
    this.latest =
      leader === undefined || leader.term < this.newestTerm || this.isUnreachable(leader)
        ? undefined
        : leader;
  }

  /** Records a coordinator that is connected and has a quorum. */
  recordCoordinator({ term }: leaderSearch.ILeader): void {
    this.newestTerm = Math.max(this.newestTerm, term);
    this.latest = undefined;
  }

  /** Records that the control VM at `address` did not answer. */
  recordUnreachable(address: string): void {
    const until = this.clock.monotonic() + UNREACHABLE_MS;
    this.unreachable = { address, term: this.newestTerm, until };
  }

  private isUnreachable({ address, term }: leaderSearch.ILeader): boolean {
    const { unreachable } = this;
    return (
      unreachable?.address === address &&
      term <= unreachable.term &&
      this.clock.monotonic() < unreachable.until
    );
  }
}
