import type * as commonTypes from '../common/Types.js';
import type * as leaderSearch from './LeaderSearch.js';

/** Time for which a leader that did not answer is not tried again; followers report it until they elect another one. */
const UNREACHABLE_MS = 1000;

/** The leader that control VMs report. Ignores reports that are outdated or name a leader that did not answer. */
export class LeaderHints {
  private latest: leaderSearch.ILeader | undefined;

  private newestTerm = 0;

  /** The reported leader to which a connection was tried last. */
  private tried: leaderSearch.ILeader | undefined;

  private unreachable: (leaderSearch.ILeader & { readonly until: commonTypes.Millis }) | undefined;

  /** Starts without a hint. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Term of the latest coordinator that had a quorum; 0 if there was none. */
  get term(): number {
    return this.newestTerm;
  }

  /** Address of the reported leader; undefined if there is no valid report. */
  get address(): string | undefined {
    return this.latest?.address;
  }

  /** Returns the address of the reported leader, and discards the report. */
  take(): string | undefined {
    this.tried = this.latest;
    this.latest = undefined;
    return this.tried?.address;
  }

  /** Records the leader that a control VM reported; ignored if its term is over or it did not answer lately. */
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
