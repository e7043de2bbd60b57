import * as eventLoopDelays from '../../common/EventLoopDelays.js';
import type * as commonTypes from '../../common/Types.js';
import type * as peerReplicator from './PeerReplicator.js';
import type * as replicaState from './ReplicaState.js';

/** Callbacks from a quorum monitor to its leadership. */
export interface IQuorumListener {
  /** A check has found a quorum. */
  onCheck(): void;
  /** No quorum has answered for too long; the monitor has stopped. */
  onLost(): void;
}

/**
 * Checks at every heartbeat interval whether a quorum has answered the leader within an election timeout. Time in which
 * the event loop was late does not count, because answers that arrived meanwhile are unread; but after two election
 * timeouts, when all voters have started an election, a silence counts in any case.
 */
export class QuorumMonitor implements commonTypes.IDisposable {
  private timer: commonTypes.IDisposable | undefined;

  private dueAt: commonTypes.Millis;

  /** Delays of the check's timer, which show how long the event loop was busy. */
  private readonly delays: eventLoopDelays.EventLoopDelays;

  private isLatenessLogged = false;

  private isDisposed = false;

  /** Monitors the answers that `replicators`, by id of the peer, receive. */
  constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly replicators: ReadonlyMap<string, peerReplicator.PeerReplicator>,
    private readonly listener: IQuorumListener,
  ) {
    const { clock, tuning } = state;
    this.dueAt = clock.monotonic();
    this.delays = new eventLoopDelays.EventLoopDelays(clock, 2 * tuning.electionTimeoutMs);
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

  /** Whether a quorum has answered requests of the last election timeout; delays of the event loop count as silence. */
  get hasRecentQuorum(): boolean {
    const { electionTimeoutMs } = this.state.tuning;
    return this.isQuorum((id) => this.silenceOf(id) <= electionTimeoutMs);
  }

  private check(): void {
    const { clock, tuning } = this.state;
    this.delays.record(clock.monotonic() - this.dueAt);
    if (!this.isQuorum((id) => this.isAnswering(id))) {
      this.log('quorum-lost');
      this.listener.onLost();
      return;
    }
    this.logLateness();
    this.listener.onCheck();
    if (!this.isDisposed) {
      this.dueAt = clock.monotonic() + tuning.heartbeatMs;
      this.timer = clock.setTimer(tuning.heartbeatMs, () => this.check());
    }
  }

  private isQuorum(isAnswering: (id: string) => boolean): boolean {
    const { members, self } = this.state;
    const respondingIds = [...this.replicators.keys()].filter(isAnswering);
    return members.isQuorum(new Set([self.id, ...respondingIds]));
  }

  private isAnswering(id: string): boolean {
    const { electionTimeoutMs } = this.state.tuning;
    const silence = this.silenceOf(id);
    const ownDelay = this.delays.since(this.state.clock.monotonic() - silence);
    return silence - Math.min(ownDelay, electionTimeoutMs) <= electionTimeoutMs;
  }

  private silenceOf(id: string): commonTypes.Millis {
    const sentAt = this.replicators.get(id)?.lastAnsweredSentAt ?? -Infinity;
    return this.state.clock.monotonic() - sentAt;
  }

  /** Logs once that only delays of the event loop keep the leader from stepping down. */
  private logLateness(): void {
    const isLate = !this.hasRecentQuorum;
    if (isLate && !this.isLatenessLogged) {
      this.log('quorum-late');
    }
    this.isLatenessLogged = isLate;
  }

  private log(event: string): void {
    const { members, self, term, logService, tuning } = this.state;
    const silences = members.voters
      .filter(({ id }) => id !== self.id)
      .map(({ id }) => `${id}=${Math.round(this.silenceOf(id))}`);
    logService.warn(event, {
      term,
      silences: silences.join(' '),
      timeout: tuning.electionTimeoutMs,
      eventLoopDelay: Math.round(this.delays.longest),
    });
  }
}
