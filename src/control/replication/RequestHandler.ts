import * as pattern from 'ts-pattern';
import type * as logTypes from '../log/Types.js';
import type * as applier from './Applier.js';
import type * as replicaState from './ReplicaState.js';
import type * as types from './Types.js';

/** Callbacks from a request handler to its replica. */
export interface IRequestListener {
  /**
   * Makes a later term durable and ends the candidacy or leadership of the earlier one. With `votedFor`, also
   * records the vote for that candidate, in the later or in the current term.
   */
  adoptTerm(term: number, votedFor?: string): Promise<void>;
}

interface IPartialSnapshot {
  readonly meta: logTypes.ISnapshotMeta;
  readonly chunks: Uint8Array[];
  bytes: number;
}

/** Handles the requests of peers; all except hello are handled one at a time. */
export class RequestHandler {
  private partialSnapshot: IPartialSnapshot | undefined;

  private loggedRefusal = '';

  /** Handles requests on behalf of the replica that `state` belongs to. */
  constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly entryApplier: applier.Applier,
    private readonly listener: IRequestListener,
  ) {}

  /** Returns the response to a request; rejects when the disk fails or an invariant of the log is violated. */
  async handle(req: types.IPeerRequest): Promise<types.IPeerResponse> {
    if (!this.isAddressed(req)) {
      this.recordOtherIncarnation(req);
      this.logRefusal(req);
      return this.respond(undefined);
    }
    const { body } = req;
    if (body.kind === 'hello') {
      const founders = this.state.self.founders.map(({ id }) => id);
      return this.respond({ kind: 'hello', blank: this.state.isBlank, founders });
    }
    return this.state.serialQueue.run(async () => {
      const responseBody = await pattern
        .match(body)
        .with({ kind: 'vote' }, (vote) => this.handleVote(req, vote))
        .with({ kind: 'append' }, (append) => this.handleAppend(req, append))
        .with({ kind: 'snapshot' }, (chunk) => this.handleSnapshot(req, chunk))
        .exhaustive();
      return this.respond(responseBody);
    });
  }

  /**
   * Whether the request is for this incarnation. A replica that lost its data folder has a new incarnation: it must
   * not vote or acknowledge entries, since it no longer knows the votes and entries that it acknowledged before. The
   * incarnation of the sender is not checked: the members that this replica knows may be older than the admission of
   * the sender, and terms and log positions already decide whether the request is valid.
   */
  private isAddressed({ to, toIncarnation, body }: types.IPeerRequest): boolean {
    const { id, incarnation } = this.state.self;
    return to === id && (body.kind === 'hello' || toIncarnation === incarnation);
  }

  /** Only a group of which an earlier incarnation of this replica was a member addresses that incarnation. */
  private recordOtherIncarnation(req: types.IPeerRequest): void {
    const { self, clock } = this.state;
    if (req.to === self.id && req.toIncarnation !== self.incarnation) {
      this.state.otherIncarnationAddressedAt = clock.monotonic();
      this.state.otherIncarnationCaller = req.from;
    }
  }

  /** Logs the refusal of a peer's requests once for each pair of incarnations. */
  private logRefusal(req: types.IPeerRequest): void {
    const { self, logService } = this.state;
    const { from, fromIncarnation, to, toIncarnation } = req;
    const key = [from, fromIncarnation, toIncarnation].join();
    if (key === this.loggedRefusal) {
      return;
    }
    this.loggedRefusal = key;
    const addressed = { to, incarnation: toIncarnation, own: self.incarnation };
    logService.warn('peer-request-refused', { peer: from, kind: req.body.kind, ...addressed });
  }

  private respond(body: types.PeerResponseBody | undefined): types.IPeerResponse {
    return { incarnation: this.state.self.incarnation, term: this.state.term, body };
  }

  private async handleVote(
    req: types.IPeerRequest,
    body: types.IVoteRequest,
  ): Promise<types.IVoteResponse> {
    const refused = { kind: 'vote', granted: false } as const;
    // A replica that leads or is in contact with the leader refuses, since the candidate alone has lost that contact.
    if (this.state.role === 'leader' || this.state.hasRecentLeader) {
      return refused;
    }
    if (body.pre) {
      return { kind: 'vote', granted: req.term > this.state.term && this.isUpToDate(body) };
    }
    if (req.term < this.state.term) {
      return refused;
    }
    const { term, votedFor } = this.state.store.vote;
    const canVote = req.term > term || votedFor === undefined || votedFor === req.from;
    const granted = canVote && this.isUpToDate(body);
    await this.listener.adoptTerm(req.term, granted ? req.from : undefined);
    if (granted) {
      this.state.electionTimerStart = this.state.clock.monotonic();
    }
    return { kind: 'vote', granted };
  }

  private isUpToDate(body: types.IVoteRequest): boolean {
    const { lastIndex, lastTerm } = this.state.store;
    if (body.lastTerm !== lastTerm) {
      return body.lastTerm > lastTerm;
    }
    return body.lastIndex >= lastIndex;
  }

  /** Accepts the sender of a request as leader and adopts its term; returns false when that term is outdated. */
  private async acceptLeader(req: types.IPeerRequest): Promise<boolean> {
    if (req.term < this.state.term) {
      return false;
    }
    if (req.term > this.state.term) {
      await this.listener.adoptTerm(req.term);
    }
    if (this.state.role === 'leader') {
      throw new Error(`two leaders in term ${req.term}: ${req.from} and this replica`);
    }
    this.state.role = 'follower';
    this.state.leaderId = req.from;
    this.state.recordLeaderContact();
    return true;
  }

  private async handleAppend(
    req: types.IPeerRequest,
    body: types.IAppendRequest,
  ): Promise<types.IAppendResponse> {
    if (!(await this.acceptLeader(req))) {
      return { kind: 'append', success: false, index: 0 };
    }
    const { store } = this.state;
    const conflict = this.findConflict(body);
    if (conflict !== undefined) {
      return { kind: 'append', success: false, index: conflict };
    }
    const newEntries = body.entries.filter((entry) => this.mustAppend(entry));
    const first = newEntries[0];
    if (first !== undefined && first.index <= this.state.commitIndex) {
      throw new Error(`append would overwrite committed entry ${first.index}`);
    }
    const lastRequestIndex = body.previousIndex + body.entries.length;
    if (newEntries.length > 0 || store.durableIndex < lastRequestIndex) {
      await this.waitForSync(this.state.append(newEntries));
    }
    this.state.recordLeaderContact();
    this.entryApplier.commit(Math.min(body.commitIndex, lastRequestIndex));
    return { kind: 'append', success: true, index: Math.min(lastRequestIndex, store.durableIndex) };
  }

  /**
   * Waits for a sync for at most one heartbeat interval. The response then reports the index that is durable so
   * far, so that the leader does not mistake a slow disk for a lost replica.
   */
  private async waitForSync(durable: Promise<void>): Promise<void> {
    const stop = new AbortController();
    const timeout = this.state.clock.sleep(this.state.tuning.heartbeatMs, stop.signal);
    await Promise.race([durable, timeout]);
    // If the sync fails later, the onFailed event of the log store stops the replica.
    durable.catch(() => {});
    timeout.catch(() => {});
    stop.abort(new Error('synced'));
  }

  /**
   * Returns the next index for the leader to try when the log lacks the entry before those of the request, else
   * undefined.
   */
  private findConflict(body: types.IAppendRequest): number | undefined {
    const { store, commitIndex } = this.state;
    const { previousIndex, previousTerm } = body;
    if (previousIndex > store.lastIndex) {
      return store.lastIndex + 1;
    }
    const term = store.termAt(previousIndex);
    // Committed entries, and so those covered by a snapshot, are identical on all replicas.
    if (previousIndex <= commitIndex || term === previousTerm) {
      return undefined;
    }
    let index = previousIndex;
    while (index > commitIndex + 1 && store.termAt(index - 1) === term) {
      index -= 1;
    }
    return index;
  }

  /** Whether an entry is missing from the log, or conflicts with the entry at its index. */
  private mustAppend(entry: logTypes.IEntry): boolean {
    const { store, commitIndex } = this.state;
    if (entry.index <= commitIndex) {
      return false;
    }
    return store.termAt(entry.index) !== entry.term;
  }

  private async handleSnapshot(
    req: types.IPeerRequest,
    chunk: types.ISnapshotRequest,
  ): Promise<types.ISnapshotResponse> {
    if (!(await this.acceptLeader(req))) {
      return { kind: 'snapshot', offset: 0, installed: false };
    }
    if (chunk.meta.index <= this.state.commitIndex) {
      return { kind: 'snapshot', offset: 0, installed: true };
    }
    if (this.hasSnapshotEntry(chunk.meta)) {
      return this.commitFromLog(chunk.meta.index);
    }
    const partial = this.addChunk(chunk);
    if (!chunk.done || partial.bytes !== chunk.offset + chunk.data.length) {
      return { kind: 'snapshot', offset: partial.bytes, installed: false };
    }
    this.partialSnapshot = undefined;
    const data = Buffer.concat(partial.chunks);
    await this.entryApplier.install({ meta: chunk.meta, data });
    this.state.recordLeaderContact();
    return { kind: 'snapshot', offset: data.length, installed: true };
  }

  /** Whether the log contains the last entry that a snapshot covers. */
  private hasSnapshotEntry(meta: types.ISnapshotRequest['meta']): boolean {
    const { store } = this.state;
    return store.lastIndex >= meta.index && store.termAt(meta.index) === meta.term;
  }

  /**
   * Commits up to the index of a snapshot without installing it, and keeps the log. The entries after that index
   * may have been acknowledged to an earlier leader as part of a quorum, so they must not be discarded.
   */
  private async commitFromLog(index: number): Promise<types.ISnapshotResponse> {
    const { store } = this.state;
    if (store.durableIndex < index) {
      await this.waitForSync(this.state.append([]));
    }
    this.state.recordLeaderContact();
    this.entryApplier.commit(index);
    return { kind: 'snapshot', offset: 0, installed: store.durableIndex >= index };
  }

  /**
   * Adds a chunk to the partial snapshot if it continues it; a chunk at offset 0 starts a new partial snapshot.
   */
  private addChunk(chunk: types.ISnapshotRequest): IPartialSnapshot {
    const isSameSnapshot = this.partialSnapshot?.meta.index === chunk.meta.index;
    const partial = isSameSnapshot && chunk.offset > 0 ? this.partialSnapshot : undefined;
    this.partialSnapshot = partial ?? { meta: chunk.meta, chunks: [], bytes: 0 };
    if (chunk.offset === this.partialSnapshot.bytes) {
      this.partialSnapshot.chunks.push(chunk.data);
      this.partialSnapshot.bytes += chunk.data.length;
    }
    return this.partialSnapshot;
  }
}
