import * as recentMaximum from '../../common/RecentMaximum.js';
import type * as commonTypes from '../../common/Types.js';
import type * as peerReplicator from './PeerReplicator.js';
import type * as replicaState from './ReplicaState.js';

/** Callbacks from a quorum monitor to its leadership. */
export interface IQuorumListener {
  /** A check has found a quorum. */
  onCheck(): void;
  /** No quorum has answered within an election timeout; the monitor has stopped. */
  onLost(): void;
}

/** Checks at every heartbeat interval whether a quorum has answered the leader within an election timeout. */
export class QuorumMonitor implements commonTypes.IDisposable {
  private timer: commonTypes.IDisposable | undefined;

  private dueAt: commonTypes.Millis;

  /** Delays of the check's timer, which show how long the event loop was busy. */
  private readonly delays: recentMaximum.RecentMaximum;

  private isDisposed = false;

  /** Monitors the answers that `replicators`, by id of the peer, receive. */
  constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly replicators: ReadonlyMap<string, peerReplicator.PeerReplicator>,
    private readonly listener: IQuorumListener,
  ) {
    const { clock, tuning } = state;
    this.dueAt = clock.monotonic();
    this.delays = new recentMaximum.RecentMaximum(clock, 2 * tuning.electionTimeoutMs);
  }

  /** Runs the first check, and the others until `dispose` is called. */
  start(): void {
    this.dueAt = this.state.clock.monotonic();
    this.check();
  }

  /** @inheritdoc */
  dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
  }

  private check(): void {
    const { clock, tuning } = this.state;
    this.delays.record(clock.monotonic() - this.dueAt);
    if (!this.hasQuorum()) {
      this.logLoss();
      this.listener.onLost();
      return;
    }
    this.listener.onCheck();
    if (!this.isDisposed) {
      this.dueAt = clock.monotonic() + tuning.heartbeatMs;
      this.timer = clock.setTimer(tuning.heartbeatMs, () => this.check());
    }
  }

  private hasQuorum(): boolean {
    const { members, self, tuning } = this.state;
    const respondingIds = [...this.replicators.keys()].filter(
      (id) => this.silenceOf(id) <= tuning.electionTimeoutMs,
    );
    return members.isQuorum(new Set([self.id, ...respondingIds]));
  }

  private silenceOf(id: string): commonTypes.Millis {
    const sentAt = this.replicators.get(id)?.lastAnsweredSentAt ?? -Infinity;
    return this.state.clock.monotonic() - sentAt;
  }

  private logLoss(): void {
    const { members, self, term, logService, tuning } = this.state;
    const silences = members.voters
      .filter(({ id }) => id !== self.id)
      .map(({ id }) => `${id}=${Math.round(this.silenceOf(id))}`);
    logService.warn('quorum-lost', {
      term,
      silences: silences.join(' '),
      timeout: tuning.electionTimeoutMs,
      eventLoopDelay: Math.round(this.delays.value),
    });
  }
}
