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

  /** The leader that was named last before a connection to it was tried. */
  private tried: leaderSearch.ILeader | undefined;

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
    this.tried = this.latest;
    this.latest = undefined;
    return this.tried?.address;
  }

  /** Records whom a control VM named; a leader of an earlier term than a known one, or one out of reach, is ignored. */
  record(leader: leaderSearch.ILeader | undefined): void {
    const minTerm = Math.max(this.newestTerm, this.latest?.term ?? 0);
    if (leader !== undefined && leader.term >= minTerm && !this.isUnreachable(leader)) {
      this.latest = leader;
    }
  }

  /** Records a coordinator that is connected and has a quorum. */
  recordCoordinator({ term }: leaderSearch.ILeader): void {
    this.newestTerm = term;
    this.latest = undefined;
  }

  /** Records that the control VM at `address` did not answer. */
  recordUnreachable(address: string): void {
    const until = this.clock.monotonic() + UNREACHABLE_MS;
    const triedTerm = this.tried?.address === address ? this.tried.term : 0;
    this.unreachable = { address, term: Math.max(this.newestTerm, triedTerm), until };
    this.latest = this.latest?.address === address ? undefined : this.latest;
  }

  /** Forgets the latest term, because no leader was found for long: a group that was founded anew counts from 1. */
  forgetTerm(): void {
    this.newestTerm = 0;
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
