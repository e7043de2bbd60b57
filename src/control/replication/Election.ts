import type * as replicaState from './ReplicaState.js';
import type * as types from './Types.js';

/** Callbacks from an election to its replica. */
export interface IElectionListener {
  /** A quorum has voted for this replica in `term`. */
  onElected(term: number): void;
  /** A peer responded with a later term. */
  onLaterTerm(term: number): Promise<void>;
  /** The campaign failed: the vote could not be made durable. */
  onFailed(err: Error): void;
}

/** Starts an election when the leader has been silent for longer than the election timeout. */
export class Election {
  private readonly stop = new AbortController();

  /** Monitors the time of the last leader contact in `state`. */
  constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly listener: IElectionListener,
  ) {}

  /** Runs until disposed. */
  async run(): Promise<void> {
    const { clock, tuning, random } = this.state;
    const { signal } = this.stop;
    while (!signal.aborted) {
      const timeoutMs = tuning.electionTimeoutMs + random.nextInt(tuning.electionTimeoutMs);
      const elapsedMs = clock.monotonic() - this.state.electionTimerStart;
      await clock.sleep(Math.max(timeoutMs - elapsedMs, 1), signal).catch(() => {});
      if (!signal.aborted && this.isElectionDue(timeoutMs)) {
        await this.campaign().catch((err: Error) => this.listener.onFailed(err));
        this.state.electionTimerStart = clock.monotonic();
      }
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('stopped'));
  }

  private isElectionDue(timeoutMs: number): boolean {
    const { clock, electionTimerStart, role, isVoter } = this.state;
    if (role === 'leader') {
      this.state.electionTimerStart = clock.monotonic();
      return false;
    }
    return isVoter && clock.monotonic() - electionTimerStart >= timeoutMs;
  }

  /** Holds a pre-vote, and raises the term and requests votes only when a quorum would grant them. */
  private async campaign(): Promise<void> {
    const contactBefore = this.state.lastLeaderContact;
    const { term } = this.state;
    if (!(await this.collectVotes(true, term + 1))) {
      return;
    }
    const isCandidate = await this.state.serialQueue.run(() =>
      this.becomeCandidate(term, contactBefore),
    );
    if (!isCandidate) {
      return;
    }
    const elected = await this.collectVotes(false, term + 1);
    if (elected && this.state.term === term + 1 && this.state.role === 'candidate') {
      this.listener.onElected(term + 1);
    }
  }

  /**
   * Votes for this replica in the next term, unless a leader or a later term has been seen since the pre-vote
   * began.
   */
  private async becomeCandidate(term: number, contactBefore: number): Promise<boolean> {
    const { store, self, lastLeaderContact } = this.state;
    if (
      this.state.term !== term ||
      lastLeaderContact !== contactBefore ||
      this.stop.signal.aborted
    ) {
      return false;
    }
    await store.saveVote({ term: term + 1, votedFor: self.id });
    this.state.role = 'candidate';
    this.state.leaderId = undefined;
    this.state.logService.info('election-started', { term: term + 1 });
    return true;
  }

  /**
   * Requests votes from all voters in parallel; resolves with true as soon as a quorum, this replica included,
   * grants.
   */
  private async collectVotes(pre: boolean, term: number): Promise<boolean> {
    const { store, members, self, peers } = this.state;
    const { lastIndex, lastTerm } = store;
    const body: types.IVoteRequest = { kind: 'vote', pre, lastIndex, lastTerm };
    const granted = new Set([self.id]);
    if (members.isQuorum(granted)) {
      return true;
    }
    return new Promise((resolve) => {
      const voters = peers.filter((peer) => peer.voter);
      const requests = voters.map(async (peer) => {
        if (await this.requestVote(peer, body, term)) {
          granted.add(peer.id);
        }
        if (members.isQuorum(granted)) {
          resolve(true);
        }
      });
      void Promise.all(requests).then(() => resolve(false));
    });
  }

  private async requestVote(
    peer: types.Peer,
    body: types.IVoteRequest,
    term: number,
  ): Promise<boolean> {
    try {
      const res = await this.state.call(peer, body, term);
      if (res.term > this.state.term) {
        await this.listener.onLaterTerm(res.term);
      }
      return res.body?.kind === 'vote' && res.body.granted;
    } catch {
      return false;
    }
  }
}
