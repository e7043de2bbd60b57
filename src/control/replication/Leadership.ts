import type * as commonTypes from '../../common/Types.js';
import type * as logTypes from '../log/Types.js';
import * as busy from './BusyError.js';
import * as commitUnknown from './CommitUnknownError.js';
import * as notLeader from './NotLeaderError.js';
import * as peerReplicator from './PeerReplicator.js';
import * as quorumMonitor from './QuorumMonitor.js';
import type * as replicaState from './ReplicaState.js';

/** Callbacks from a leadership to its replica. */
export interface ILeadershipListener {
  /** Entries up to `index` are durable on a quorum. */
  onCommit(index: number): void;
  /** Entries of this leader have become durable here; a quorum may have committed them before. */
  onDurable(): void;
  /** Leadership must end; `term` is the later term of a peer, undefined when the quorum was lost. */
  onLost(term: number | undefined, reason: string): void;
}

interface IPendingEntry {
  readonly bytes: number;
  readonly resolve: (result: Uint8Array) => void;
  readonly reject: (err: Error) => void;
}

interface IPendingRead {
  /** Sequence number of the read within this leadership. */
  readonly number: number;
  /** Index that must be applied before the read may be served. */
  readonly requiredIndex: number;
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}

/** One term of this replica as leader: proposes commands, confirms reads and replicates the log to the peers. */
export class Leadership implements commonTypes.IDisposable, peerReplicator.IPeerReplicatorListener {
  /** Index of the first entry of the term, the no-op that `start` appends. */
  readonly firstIndex: number;

  /** Sequence number of the newest read that was requested. */
  newestReadNumber = 0;

  private readonly replicators = new Map<string, peerReplicator.PeerReplicator>();

  private readonly pendingEntries = new Map<number, IPendingEntry>();

  private pendingBytes = 0;

  private pendingReads: IPendingRead[] = [];

  private appliedIndex = 0;

  private readonly quorumMonitor: quorumMonitor.QuorumMonitor;

  private ended = false;

  /** Creates the leadership of `term`, for which a quorum of votes is durable. */
  constructor(
    readonly term: number,
    private readonly state: replicaState.ReplicaState,
    private readonly listener: ILeadershipListener,
  ) {
    this.firstIndex = state.store.lastIndex + 1;
    this.quorumMonitor = new quorumMonitor.QuorumMonitor(state, this.replicators, {
      onCheck: () => state.room.refresh(),
      onLost: () => listener.onLost(undefined, 'no-quorum'),
    });
  }

  /**
   * Appends a no-op entry, whose commit also commits the entries of earlier terms, and starts the replicators
   * and the quorum check.
   */
  start(): void {
    this.appendEntry('noop', new Uint8Array());
    this.updateReplicators();
    this.quorumMonitor.start();
  }

  /**
   * Proposes a command and resolves with its result once it is applied here. Rejects with BusyError when a limit
   * is reached, before anything is appended, and with CommitUnknownError when leadership ends first.
   */
  propose(command: Uint8Array): Promise<Uint8Array> {
    const { maxPendingCommands, maxPendingBytes } = this.state.tuning;
    if (!this.state.room.hasRoomFor(command.length)) {
      return Promise.reject(new busy.BusyError('disk-full'));
    }
    const bytes = this.pendingBytes + command.length;
    if (this.pendingEntries.size >= maxPendingCommands || bytes > maxPendingBytes) {
      return Promise.reject(new busy.BusyError('queue-full'));
    }
    return this.appendPending('command', command);
  }

  /**
   * Appends an entry and resolves with its result once it is applied here; rejects with CommitUnknownError. Once the
   * leadership has ended, the log may hold entries of a later term: rejects with NotLeaderError and appends nothing.
   */
  appendPending(kind: logTypes.EntryKind, data: Uint8Array): Promise<Uint8Array> {
    if (this.ended) {
      return Promise.reject(new notLeader.NotLeaderError(this.state.leaderId));
    }
    const index = this.appendEntry(kind, data);
    this.pendingBytes += data.length;
    return new Promise((resolve, reject) => {
      this.pendingEntries.set(index, { bytes: data.length, resolve, reject });
    });
  }

  /**
   * Resolves once a quorum has confirmed this leader after the call, and every command that was acknowledged
   * before the call is applied. Rejects with BusyError or NotLeaderError.
   */
  confirmRead(): Promise<void> {
    if (this.pendingReads.length >= this.state.tuning.maxPendingReads) {
      return Promise.reject(new busy.BusyError('queue-full'));
    }
    this.newestReadNumber += 1;
    const number = this.newestReadNumber;
    const index = Math.max(this.state.commitIndex, this.firstIndex);
    const confirmed = new Promise<void>((resolve, reject) => {
      this.pendingReads.push({ number, requiredIndex: index, resolve, reject });
    });
    this.wakeReplicators();
    this.resolveReads();
    return confirmed;
  }

  /** Resolves the proposal of an applied entry with its result. */
  completeEntry(entry: logTypes.IEntry, result: Uint8Array): void {
    this.appliedIndex = entry.index;
    const pendingEntry = this.pendingEntries.get(entry.index);
    if (pendingEntry !== undefined && entry.term === this.term) {
      this.pendingEntries.delete(entry.index);
      this.pendingBytes -= pendingEntry.bytes;
      pendingEntry.resolve(result);
    }
    this.resolveReads();
  }

  /** True once this leadership has ended. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Whether a quorum has answered this leader within an election timeout. */
  get hasRecentQuorum(): boolean {
    return this.quorumMonitor.hasRecentQuorum;
  }

  /** Returns the highest log index known to be durable on a peer; 0 when unknown. */
  matchIndexOf(id: string): number {
    return this.replicators.get(id)?.matchIndex ?? 0;
  }

  /** Time since the last request that the peer has answered was sent; infinite when the peer has no replicator. */
  silenceOf(id: string): commonTypes.Millis {
    const replicator = this.replicators.get(id);
    return replicator === undefined
      ? Number.POSITIVE_INFINITY
      : this.state.clock.monotonic() - replicator.lastAnsweredSentAt;
  }

  /** Starts replicators for new peers and disposes those of removed or replaced ones. */
  updateReplicators(): void {
    const { peers } = this.state;
    const incarnations = new Map(peers.map((peer) => [peer.id, peer.incarnation]));
    [...this.replicators.values()]
      .filter((replicator) => incarnations.get(replicator.peer.id) !== replicator.peer.incarnation)
      .forEach((replicator) => {
        replicator.dispose();
        this.replicators.delete(replicator.peer.id);
      });
    peers
      .filter((peer) => !this.replicators.has(peer.id))
      .forEach((peer) => {
        const replicator = new peerReplicator.PeerReplicator(peer, this.term, this.state, this);
        this.replicators.set(peer.id, replicator);
        void replicator.run();
      });
  }

  /** @inheritdoc */
  onProgress(): void {
    this.advanceCommit();
    this.resolveReads();
  }

  /** @inheritdoc */
  onLaterTerm(term: number): void {
    this.listener.onLost(term, 'later-term');
  }

  /**
   * Ends the leadership. Pending entries are rejected with CommitUnknownError: they may or may not be committed.
   */
  dispose(): void {
    this.ended = true;
    this.quorumMonitor.dispose();
    this.replicators.forEach((replicator) => replicator.dispose());
    const pending = [...this.pendingEntries];
    this.pendingEntries.clear();
    pending.forEach(([index, pendingEntry]) => {
      pendingEntry.reject(new commitUnknown.CommitUnknownError(index, this.term));
    });
    const { pendingReads } = this;
    this.pendingReads = [];
    pendingReads.forEach((read) => read.reject(new notLeader.NotLeaderError(undefined)));
  }

  private appendEntry(kind: logTypes.EntryKind, data: Uint8Array): number {
    const index = this.state.store.lastIndex + 1;
    const entry = { index, term: this.term, kind, data };
    const durable = this.state.append([entry]);
    // A disk failure is ignored here: the onFailed event of the log store stops the replica.
    durable.then(() => this.handleDurable()).catch(() => {});
    if (kind === 'members') {
      this.updateReplicators();
    }
    this.wakeReplicators();
    return index;
  }

  private wakeReplicators(): void {
    this.replicators.forEach((replicator) => replicator.wake());
  }

  private handleDurable(): void {
    this.advanceCommit();
    if (!this.ended) {
      this.listener.onDurable();
    }
  }

  /** Commits up to the highest index that is durable on a quorum, if its entry is of this term. */
  private advanceCommit(): void {
    if (this.ended) {
      return;
    }
    const { store, members, self, commitIndex } = this.state;
    const durableIndexes = members.voters.map((voter) =>
      voter.id === self.id ? store.durableIndex : this.matchIndexOf(voter.id),
    );
    durableIndexes.sort((a, b) => b - a);
    const index = durableIndexes[Math.floor(durableIndexes.length / 2)] ?? 0;
    if (index > commitIndex && store.termAt(index) === this.term) {
      this.listener.onCommit(index);
      this.wakeReplicators();
    }
  }

  private resolveReads(): void {
    if (this.pendingReads.length === 0 || this.ended) {
      return;
    }
    const applied = Math.max(this.appliedIndex, 0);
    const confirmed = this.confirmedReadNumber();
    const ready = this.pendingReads.filter(
      (read) => read.number <= confirmed && read.requiredIndex <= applied,
    );
    if (ready.length > 0) {
      this.pendingReads = this.pendingReads.filter((read) => !ready.includes(read));
      ready.forEach((read) => read.resolve());
    }
  }

  /** Sequence number of the newest read that a quorum has confirmed. */
  private confirmedReadNumber(): number {
    const { members, self } = this.state;
    const confirmedNumbers = members.voters.map((voter) =>
      voter.id === self.id
        ? this.newestReadNumber
        : (this.replicators.get(voter.id)?.confirmedReadNumber ?? 0),
    );
    confirmedNumbers.sort((a, b) => b - a);
    return confirmedNumbers[Math.floor(confirmedNumbers.length / 2)] ?? 0;
  }
}
