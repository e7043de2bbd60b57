import type * as replicaState from './ReplicaState.js';
import * as voteCollector from './VoteCollector.js';

const FAILURE_LOG_INTERVAL_MS = 5000;

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

  private failureLoggedAt = -Infinity;

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
    const preVotes = await this.collectVotes(true, term + 1);
    if (!preVotes.isQuorum) {
      this.logFailure('pre-vote', preVotes);
      return;
    }
    const isCandidate = await this.state.serialQueue.run(() =>
      this.becomeCandidate(term, contactBefore),
    );
    if (!isCandidate) {
      return;
    }
    const votes = await this.collectVotes(false, term + 1);
    if (!votes.isQuorum) {
      this.logFailure('vote', votes);
    } else if (this.state.term === term + 1 && this.state.role === 'candidate') {
      this.listener.onElected(term + 1);
    }
  }

  /**
   * Votes for this replica in the next term, unless a leader or a later term has been seen since the pre-vote
   * began.
   */
  private async becomeCandidate(term: number, contactBefore: number): Promise<boolean> {
    const { state } = this;
    // Founder may have made this replica the leader since the pre-vote began.
    const hasLeader = state.role === 'leader' || state.lastLeaderContact !== contactBefore;
    if (hasLeader || state.term !== term || this.stop.signal.aborted) {
      return false;
    }
    await state.becomeCandidate(term + 1);
    return true;
  }

  /** Logs how each voter was reached, at most once per FAILURE_LOG_INTERVAL_MS. */
  private logFailure(phase: 'pre-vote' | 'vote', { replies }: voteCollector.IVotes): void {
    const { clock, logService, term } = this.state;
    const now = clock.monotonic();
    if (now - this.failureLoggedAt < FAILURE_LOG_INTERVAL_MS) {
      return;
    }
    this.failureLoggedAt = now;
    const silences = [...replies.keys()].map((id) => {
      const silence = this.state.silenceOf(id);
      return `${id}=${silence === undefined ? 'never-answered' : Math.round(silence)}`;
    });
    logService.warn('election-failed', {
      phase,
      term,
      replies: [...replies].map(([id, reply]) => `${id}=${reply}`).join('; '),
      silences: silences.join(' '),
    });
  }

  private collectVotes(pre: boolean, term: number): Promise<voteCollector.IVotes> {
    const { members, peers } = this.state;
    const electorate = {
      peers: peers.filter((peer) => peer.voter),
      isQuorum: (ids: ReadonlySet<string>) => members.isQuorum(ids),
    };
    return voteCollector.collectVotes(this.state, electorate, { pre, term }, (later) =>
      this.listener.onLaterTerm(later),
    );
  }
}
