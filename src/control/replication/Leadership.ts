import type * as commonTypes from '../../common/Types.js';
import type * as logTypes from '../log/Types.js';
import * as busy from './BusyError.js';
import * as commitUnknown from './CommitUnknownError.js';
import * as notLeader from './NotLeaderError.js';
import * as peerReplicator from './PeerReplicator.js';
import type * as replicaState from './ReplicaState.js';

/** What a leader asks of its replica. */
export interface ILeadershipListener {
  /** Entries up to `index` are held by a quorum. */
  onCommit(index: number): void;
  /** Leadership must end; `term` is the later term that was seen, if one was. */
  onLost(term: number | undefined, reason: string): void;
}

interface IPending {
  readonly bytes: number;
  readonly resolve: (result: Uint8Array) => void;
  readonly reject: (err: Error) => void;
}

interface IRead {
  readonly number: number;
  /** The read is current once this is applied. */
  readonly index: number;
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}

const SPACE_CHECK_MS = 1000;

/** A term in which this replica leads: its proposals, reads and peers. */
export class Leadership implements commonTypes.IDisposable, peerReplicator.IPeerReplicatorListener {
  /** Index of the entry that opened the term. */
  readonly openingIndex: number;

  /** Number of the newest read that waits. */
  readNumber = 0;

  private readonly tasks = new Map<string, peerReplicator.PeerReplicator>();

  private readonly pending = new Map<number, IPending>();

  private pendingBytes = 0;

  private reads: IRead[] = [];

  private appliedIndex = 0;

  private diskFull = false;

  private spaceCheckedAt = -Infinity;

  private timer: commonTypes.IDisposable | undefined;

  private ended = false;

  /** Leads in `term`, which is durable with a quorum's votes. */
  constructor(
    readonly term: number,
    private readonly state: replicaState.ReplicaState,
    private readonly listener: ILeadershipListener,
  ) {
    this.openingIndex = state.store.lastIndex + 1;
  }

  /** Opens the term: an entry of its own commits those of earlier terms with it. */
  start(): void {
    this.appendEntry('noop', new Uint8Array());
    this.followMembers();
    this.tick();
  }

  /** Proposes a command; rejects with BusyError before anything is appended. */
  propose(command: Uint8Array): Promise<Uint8Array> {
    const { maxPendingCommands, maxPendingBytes } = this.state.tuning;
    if (this.diskFull) {
      return Promise.reject(new busy.BusyError('disk-full'));
    }
    const bytes = this.pendingBytes + command.length;
    if (this.pending.size >= maxPendingCommands || bytes > maxPendingBytes) {
      return Promise.reject(new busy.BusyError('queue-full'));
    }
    return this.appendPending('command', command);
  }

  /** Appends an entry and resolves once it is applied here. */
  appendPending(kind: logTypes.EntryKind, data: Uint8Array): Promise<Uint8Array> {
    const index = this.appendEntry(kind, data);
    this.pendingBytes += data.length;
    return new Promise((resolve, reject) => {
      this.pending.set(index, { bytes: data.length, resolve, reject });
    });
  }

  /** Resolves once a quorum confirmed this leader after the call, and all acknowledged before it is applied. */
  confirmRead(): Promise<void> {
    if (this.reads.length >= this.state.tuning.maxPendingReads) {
      return Promise.reject(new busy.BusyError('queue-full'));
    }
    this.readNumber += 1;
    const number = this.readNumber;
    const index = Math.max(this.state.commitIndex, this.openingIndex);
    const confirmed = new Promise<void>((resolve, reject) => {
      this.reads.push({ number, index, resolve, reject });
    });
    this.wakePeers();
    this.resolveReads();
    return confirmed;
  }

  /** Hands the result of an applied entry to its proposer. */
  noteApplied(entry: logTypes.IEntry, result: Uint8Array): void {
    this.appliedIndex = entry.index;
    const waiting = this.pending.get(entry.index);
    if (waiting !== undefined && entry.term === this.term) {
      this.pending.delete(entry.index);
      this.pendingBytes -= waiting.bytes;
      waiting.resolve(result);
    }
    this.resolveReads();
  }

  /** Whether this replica has ceased to lead. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Highest index durable on a peer. */
  matchIndexOf(id: string): number {
    return this.tasks.get(id)?.matchIndex ?? 0;
  }

  /** Time since a peer's last answer was asked for; infinite for one that is not followed. */
  silenceOf(id: string): commonTypes.Millis {
    const task = this.tasks.get(id);
    return task === undefined
      ? Number.POSITIVE_INFINITY
      : this.state.clock.monotonic() - task.lastAnswered;
  }

  /** Starts tasks for new peers and ends those of removed ones. */
  followMembers(): void {
    const { peers } = this.state;
    const present = new Map(peers.map((peer) => [peer.id, peer.incarnation]));
    [...this.tasks.values()]
      .filter((task) => present.get(task.peer.id) !== task.peer.incarnation)
      .forEach((task) => {
        task.dispose();
        this.tasks.delete(task.peer.id);
      });
    peers
      .filter((peer) => !this.tasks.has(peer.id))
      .forEach((peer) => {
        const task = new peerReplicator.PeerReplicator(peer, this.term, this.state, this);
        this.tasks.set(peer.id, task);
        void task.run();
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

  /** Ends the leadership: what is pending may or may not be committed. */
  dispose(): void {
    this.ended = true;
    this.timer?.dispose();
    this.tasks.forEach((task) => task.dispose());
    const pending = [...this.pending];
    this.pending.clear();
    pending.forEach(([index, waiting]) => {
      waiting.reject(new commitUnknown.CommitUnknownError(index, this.term));
    });
    const { reads } = this;
    this.reads = [];
    reads.forEach((read) => read.reject(new notLeader.NotLeaderError(undefined)));
  }

  private appendEntry(kind: logTypes.EntryKind, data: Uint8Array): number {
    const index = this.state.store.lastIndex + 1;
    const entry = { index, term: this.term, kind, data };
    const durable = this.state.append([entry]);
    // A failed disk stops the replica by the store's own event.
    durable.then(() => this.advanceCommit()).catch(() => {});
    if (kind === 'members') {
      this.followMembers();
    }
    this.wakePeers();
    return index;
  }

  private wakePeers(): void {
    this.tasks.forEach((task) => task.wake());
  }

  /** Commits up to the highest index of this term that a quorum holds durably. */
  private advanceCommit(): void {
    if (this.ended) {
      return;
    }
    const { store, members, self, commitIndex } = this.state;
    const held = members.voters.map((voter) =>
      voter.id === self.id ? store.durableIndex : this.matchIndexOf(voter.id),
    );
    held.sort((a, b) => b - a);
    const index = held[Math.floor(held.length / 2)] ?? 0;
    if (index > commitIndex && store.termAt(index) === this.term) {
      this.listener.onCommit(index);
      this.wakePeers();
    }
  }

  private resolveReads(): void {
    if (this.reads.length === 0 || this.ended) {
      return;
    }
    const applied = Math.max(this.appliedIndex, 0);
    const confirmed = this.confirmedNumber();
    const ready = this.reads.filter((read) => read.number <= confirmed && read.index <= applied);
    if (ready.length > 0) {
      this.reads = this.reads.filter((read) => !ready.includes(read));
      ready.forEach((read) => read.resolve());
    }
  }

  /** Number of the newest read that a quorum confirmed. */
  private confirmedNumber(): number {
    const { members, self } = this.state;
    const confirmed = members.voters.map((voter) =>
      voter.id === self.id ? this.readNumber : (this.tasks.get(voter.id)?.confirmedRead ?? 0),
    );
    confirmed.sort((a, b) => b - a);
    return confirmed[Math.floor(confirmed.length / 2)] ?? 0;
  }

  /** Steps down when no quorum answered within an election timeout. */
  private tick(): void {
    if (this.ended) {
      return;
    }
    if (!this.hasQuorum()) {
      this.listener.onLost(undefined, 'no-quorum');
      return;
    }
    void this.checkSpace();
    this.timer = this.state.clock.setTimer(this.state.tuning.heartbeatMs, () => this.tick());
  }

  private hasQuorum(): boolean {
    const { members, self, clock, tuning } = this.state;
    const oldest = clock.monotonic() - tuning.electionTimeoutMs;
    const answering = [...this.tasks.values()]
      .filter((task) => task.lastAnswered >= oldest)
      .map((task) => task.peer.id);
    return members.isQuorum(new Set([self.id, ...answering]));
  }

  private async checkSpace(): Promise<void> {
    const { clock, store, tuning } = this.state;
    if (clock.monotonic() - this.spaceCheckedAt < SPACE_CHECK_MS) {
      return;
    }
    this.spaceCheckedAt = clock.monotonic();
    const free = await store.freeBytes().catch(() => Infinity);
    const full = free < tuning.diskReserveBytes;
    if (full !== this.diskFull) {
      this.state.logService.warn('disk-space', { full, free, reserve: tuning.diskReserveBytes });
    }
    this.diskFull = full;
  }
}
