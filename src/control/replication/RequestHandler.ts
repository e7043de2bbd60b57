import * as pattern from 'ts-pattern';
import type * as logTypes from '../log/Types.js';
import type * as applier from './Applier.js';
import type * as replicaState from './ReplicaState.js';
import type * as types from './Types.js';

/** What the handler asks of its replica. */
export interface IRequestListener {
  /**
   * Makes a later term durable and ends what this replica was in the earlier one; with it, or in
   * the same term, the vote for a candidate.
   */
  adoptTerm(term: number, votedFor?: string): Promise<void>;
}

interface IPartialSnapshot {
  readonly meta: logTypes.ISnapshotMeta;
  readonly parts: Uint8Array[];
  bytes: number;
}

/** Answers the requests of peers, one after another. */
export class RequestHandler {
  private partialSnapshot: IPartialSnapshot | undefined;

  /** Answers for the replica of `state`. */
  constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly entryApplier: applier.Applier,
    private readonly listener: IRequestListener,
  ) {}

  /** Answers a request; rejects when the disk fails. */
  async handle(req: types.IPeerRequest): Promise<types.IPeerResponse> {
    if (!this.matchesIncarnations(req)) {
      return this.respond(undefined);
    }
    const { body } = req;
    if (body.kind === 'hello') {
      return this.respond({ kind: 'hello', blank: this.state.isBlank });
    }
    return this.state.serialQueue.run(async () => {
      const responseBody = await pattern
        .match(body)
        .with({ kind: 'vote' }, (vote) => this.handleVote(req, vote))
        .with({ kind: 'append' }, (append) => this.handleAppend(req, append))
        .with({ kind: 'snapshot' }, (part) => this.handleSnapshot(req, part))
        .exhaustive();
      return this.respond(responseBody);
    });
  }

  /**
   * A request counts only between the two data folders that it was meant for: a replica that lost
   * its folder must not vote or acknowledge by what the lost one promised.
   */
  private matchesIncarnations(req: types.IPeerRequest): boolean {
    const { id, incarnation } = this.state.self;
    if (req.to !== id) {
      return false;
    }
    if (req.body.kind === 'hello') {
      return true;
    }
    const recorded = this.state.members.find(req.from)?.incarnation;
    const isKnownSender = recorded === undefined || recorded === req.fromIncarnation;
    return isKnownSender && req.toIncarnation === incarnation;
  }

  private respond(body: types.PeerResponseBody | undefined): types.IPeerResponse {
    return { incarnation: this.state.self.incarnation, term: this.state.term, body };
  }

  private async handleVote(
    req: types.IPeerRequest,
    body: types.IVoteRequest,
  ): Promise<types.IVoteResponse> {
    const refused = { kind: 'vote', granted: false } as const;
    // A leader or its follower does not help an election: the candidate alone is cut off.
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

  /** Follows the leader of a request; false when its term is past. */
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
      throw new Error(`committed entry ${first.index} would be replaced`);
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
   * Waits for a sync, but not longer than a heartbeat: the answer then tells of what is durable so
   * far, so that a slow disk does not look like a lost replica.
   */
  private async waitForSync(durable: Promise<void>): Promise<void> {
    const stop = new AbortController();
    const timeout = this.state.clock.sleep(this.state.tuning.heartbeatMs, stop.signal);
    await Promise.race([durable, timeout]);
    // A sync that fails later stops the replica by the store's own event.
    durable.catch(() => {});
    timeout.catch(() => {});
    stop.abort(new Error('synced'));
  }

  /** The next index to try when the log lacks the entry before the request's. */
  private findConflict(body: types.IAppendRequest): number | undefined {
    const { store, commitIndex } = this.state;
    const { previousIndex, previousTerm } = body;
    if (previousIndex > store.lastIndex) {
      return store.lastIndex + 1;
    }
    const term = store.termAt(previousIndex);
    // What is committed, and so what a snapshot covers, is the same everywhere.
    if (previousIndex <= commitIndex || term === previousTerm) {
      return undefined;
    }
    let index = previousIndex;
    while (index > commitIndex + 1 && store.termAt(index - 1) === term) {
      index -= 1;
    }
    return index;
  }

  /** Whether an entry is not held yet, or another is held in its place. */
  private mustAppend(entry: logTypes.IEntry): boolean {
    const { store, commitIndex } = this.state;
    if (entry.index <= commitIndex) {
      return false;
    }
    return store.termAt(entry.index) !== entry.term;
  }

  private async handleSnapshot(
    req: types.IPeerRequest,
    part: types.ISnapshotRequest,
  ): Promise<types.ISnapshotResponse> {
    if (!(await this.acceptLeader(req))) {
      return { kind: 'snapshot', offset: 0, installed: false };
    }
    if (part.meta.index <= this.state.commitIndex) {
      return { kind: 'snapshot', offset: 0, installed: true };
    }
    if (this.hasSnapshotEntry(part.meta)) {
      return this.commitFromLog(part.meta.index);
    }
    const partial = this.addPart(part);
    if (!part.done || partial.bytes !== part.offset + part.data.length) {
      return { kind: 'snapshot', offset: partial.bytes, installed: false };
    }
    this.partialSnapshot = undefined;
    const data = Buffer.concat(partial.parts);
    await this.entryApplier.install({ meta: part.meta, data });
    this.state.recordLeaderContact();
    return { kind: 'snapshot', offset: data.length, installed: true };
  }

  /** Whether the log holds the last entry that a snapshot covers. */
  private hasSnapshotEntry(meta: types.ISnapshotRequest['meta']): boolean {
    const { store } = this.state;
    return store.lastIndex >= meta.index && store.termAt(meta.index) === meta.term;
  }

  /**
   * Takes a snapshot's word for what is committed and keeps the log: the entries after it may have been
   * acknowledged to an earlier leader, and a quorum may count on them.
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

  /** Adds a part that continues what was received; a first part starts anew. */
  private addPart(part: types.ISnapshotRequest): IPartialSnapshot {
    const isSameSnapshot = this.partialSnapshot?.meta.index === part.meta.index;
    const partial = isSameSnapshot && part.offset > 0 ? this.partialSnapshot : undefined;
    this.partialSnapshot = partial ?? { meta: part.meta, parts: [], bytes: 0 };
    if (part.offset === this.partialSnapshot.bytes) {
      this.partialSnapshot.parts.push(part.data);
      this.partialSnapshot.bytes += part.data.length;
    }
    return this.partialSnapshot;
  }
}
