import * as disposableStore from '../../common/DisposableStore.js';
import * as emitter from '../../common/Emitter.js';
import type * as services from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as logStore from '../log/LogStore.js';
import type * as logTypes from '../log/Types.js';
import type * as controlTypes from '../Types.js';
import * as applier from './Applier.js';
import * as election from './Election.js';
import * as founder from './Founder.js';
import * as leadership from './Leadership.js';
import * as membershipChanger from './MembershipChanger.js';
import * as notLeader from './NotLeaderError.js';
import * as replicaState from './ReplicaState.js';
import * as requestHandler from './RequestHandler.js';
import * as tuning from './Tuning.js';
import type * as types from './Types.js';

/** Services that a replica depends on. */
export interface IReplicaServices {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly logService: services.ILogService;
  readonly stateMachine: controlTypes.IStateMachine;
  readonly transport: types.IPeerTransport;
  readonly disk: logTypes.IDisk;
}

/**
 * One replica of the replicated log. The leader orders the commands and commits them with a quorum; every replica
 * applies the committed commands in that order.
 *
 * @example
 * const log = await Replica.open({ id: 'c1', dataDir, members }, services);
 * const result = await log.propose(command);
 */
export class Replica implements controlTypes.IReplicatedLog {
  private readonly disposables = new disposableStore.DisposableStore();

  private readonly stop = new AbortController();

  private readonly entryApplier: applier.Applier;

  private readonly membershipChanger: membershipChanger.MembershipChanger;

  private currentLeadership: leadership.Leadership | undefined;

  private failure: Error | undefined;

  private readonly leadershipEmitter = new emitter.Emitter<boolean>();

  private readonly failureEmitter = new emitter.Emitter<Error>();

  /** @inheritdoc */
  readonly onLeadership = this.leadershipEmitter.event;

  /** @inheritdoc */
  readonly onFailed = this.failureEmitter.event;

  private constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly foundingMembers: readonly controlTypes.IFoundingMember[],
    private readonly isLaterStart: boolean,
    stateMachine: controlTypes.IStateMachine,
  ) {
    this.disposables.add(state.store);
    this.disposables.add(this.leadershipEmitter);
    this.disposables.add(this.failureEmitter);
    const listener: applier.AppliedListener = (entry, result) => this.completeEntry(entry, result);
    this.entryApplier = this.disposables.add(new applier.Applier(state, stateMachine, listener));
    this.membershipChanger = new membershipChanger.MembershipChanger(state);
    this.disposables.add(state.store.onFailed((err) => this.fail(err)));
  }

  /**
   * Opens the data folder and starts the replica.
   *
   * @throws FolderLockedError, CorruptLogError, StorageError; RangeError for a tuning out of range.
   */
  static async open(
    options: types.IReplicaOptions,
    replicaServices: IReplicaServices,
  ): Promise<Replica> {
    const tuningWithDefaults = tuning.completeTuning(options.tuning);
    const { clock, random, transport, disk } = replicaServices;
    const logService = replicaServices.logService.child({ replica: options.id });
    const store = await logStore.LogStore.open(
      disk,
      options.dataDir,
      options.id,
      random,
      logService,
      options.isFirstStart ? options.members : [],
    );
    const state = new replicaState.ReplicaState(
      store,
      clock,
      random,
      logService,
      transport,
      tuningWithDefaults,
    );
    const { founders } = store.identity;
    const foundingMembers = founders.length > 0 ? founders : options.members;
    const replica = new Replica(
      state,
      foundingMembers,
      options.isFirstStart === false,
      replicaServices.stateMachine,
    );
    replica.start();
    return replica;
  }

  /** @inheritdoc */
  get onApplied(): commonTypes.IEvent<number> {
    return this.entryApplier.onApplied;
  }

  /** @inheritdoc */
  async propose(command: Uint8Array): Promise<Uint8Array> {
    const { maxCommandBytes } = this.state.tuning;
    if (command.length > maxCommandBytes) {
      throw new RangeError(`command of ${command.length} bytes; the limit is ${maxCommandBytes}`);
    }
    return this.requireLeadership().propose(command);
  }

  /** @inheritdoc */
  async readBarrier(): Promise<void> {
    return this.requireLeadership().confirmRead();
  }

  /** @inheritdoc */
  async changeMembership(change: controlTypes.IMembershipChange): Promise<void> {
    const { action, id, address } = change;
    this.state.logService.info('membership-change', { action, id, address });
    await this.membershipChanger.change(this.requireLeadership(), change);
  }

  /** @inheritdoc */
  status(): controlTypes.IReplicaStatus {
    const { self, role, term, leaderId, isVoter, commitIndex, members } = this.state;
    const { otherIncarnationCaller: caller } = this.state;
    return {
      id: self.id,
      incarnation: self.incarnation,
      role: members.find(self.id)?.voter === false ? 'learner' : role,
      term,
      leaderId,
      hasLeader: role === 'leader' || this.state.hasRecentLeader,
      isVoter,
      isStateCurrent: this.isStateCurrent,
      commitIndex,
      appliedIndex: this.entryApplier.appliedIndex,
      members: members.current,
      ...(caller === undefined ? {} : { earlierIncarnationCaller: caller }),
    };
  }

  /**
   * An entry of the own term is applied, and so is every entry that an earlier leader may have acknowledged. Without a
   * recent quorum a later leader may have acknowledged others.
   */
  private get isStateCurrent(): boolean {
    const { currentLeadership } = this;
    return (
      currentLeadership !== undefined &&
      this.entryApplier.appliedIndex >= currentLeadership.firstIndex &&
      currentLeadership.hasRecentQuorum
    );
  }

  /** Time since the last request that a peer answered was sent; undefined when this replica is not the leader. */
  timeSinceAnswer(id: string): commonTypes.Millis | undefined {
    return this.currentLeadership?.silenceOf(id);
  }

  /** Number of log syncs since the replica was opened, which shows how many writes share a sync (group commit). */
  get syncs(): number {
    return this.state.store.syncs;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('replica closed'));
    this.endLeadership();
    this.disposables.dispose();
  }

  private start(): void {
    const handler = new requestHandler.RequestHandler(this.state, this.entryApplier, {
      adoptTerm: (term, votedFor) => this.adoptTerm(term, votedFor),
    });
    this.disposables.add(this.state.transport.serve((req) => this.serve(handler, req)));
    const listener: election.IElectionListener = {
      onElected: (term) => this.startLeadership(term),
      onLaterTerm: (term) => this.adoptLaterTerm(term),
      onFailed: (err) => this.fail(err),
    };
    const electionTask = this.disposables.add(new election.Election(this.state, listener));
    const founderTask = this.disposables.add(
      new founder.Founder(this.state, this.foundingMembers, this.isLaterStart, listener),
    );
    void founderTask.run();
    void electionTask.run();
  }

  private async serve(
    handler: requestHandler.RequestHandler,
    req: types.IPeerRequest,
  ): Promise<types.IPeerResponse> {
    if (this.stop.signal.aborted) {
      throw this.stop.signal.reason as Error;
    }
    try {
      return await handler.handle(req);
    } catch (err) {
      this.fail(err as Error);
      throw err;
    }
  }

  private requireLeadership(): leadership.Leadership {
    if (this.currentLeadership === undefined) {
      const { leaderId, members } = this.state;
      const address = leaderId === undefined ? undefined : members.find(leaderId)?.address;
      throw new notLeader.NotLeaderError(leaderId, address);
    }
    return this.currentLeadership;
  }

  private startLeadership(term: number): void {
    // Votes may arrive after the replica was disposed; replicators started then would never be disposed.
    if (this.stop.signal.aborted) {
      return;
    }
    const newLeadership = new leadership.Leadership(term, this.state, {
      onCommit: (index) => this.commit(index),
      onDurable: () => this.commit(this.state.commitIndex),
      onLost: (later, reason) => this.stepDown(later, reason),
    });
    this.currentLeadership = newLeadership;
    this.state.role = 'leader';
    this.state.leaderId = this.state.self.id;
    this.state.logService.info('leadership-won', { term });
    newLeadership.start();
    this.leadershipEmitter.fire(true);
  }

  private commit(index: number): void {
    try {
      this.entryApplier.commit(index);
    } catch (err) {
      this.fail(err as Error);
    }
  }

  private completeEntry(entry: logTypes.IEntry, result: Uint8Array): void {
    this.currentLeadership?.completeEntry(entry, result);
    const { members, self } = this.state;
    const removed = entry.kind === 'members' && members.find(self.id) === undefined;
    if (removed && this.currentLeadership !== undefined) {
      this.stepDown(undefined, 'removed');
    }
  }

  private stepDown(later: number | undefined, reason: string): void {
    this.state.logService.warn('leadership-lost', { term: this.state.term, reason });
    this.endLeadership();
    if (later !== undefined) {
      void this.adoptLaterTerm(later).catch((err: Error) => this.fail(err));
    }
  }

  private endLeadership(): void {
    const { currentLeadership } = this;
    if (currentLeadership === undefined) {
      return;
    }
    this.currentLeadership = undefined;
    this.state.role = 'follower';
    this.state.leaderId = undefined;
    this.state.electionTimerStart = this.state.clock.monotonic();
    currentLeadership.dispose();
    this.leadershipEmitter.fire(false);
  }

  private adoptLaterTerm(term: number): Promise<void> {
    return this.state.serialQueue.run(() => this.adoptTerm(term));
  }

  /** Saves a later term, or a vote, to disk. Requests are answered in that term only after the save. */
  private async adoptTerm(term: number, votedFor?: string): Promise<void> {
    const { vote } = this.state.store;
    const isLater = term > vote.term;
    const isNewVote = term === vote.term && votedFor !== undefined && vote.votedFor !== votedFor;
    if (!isLater && !isNewVote) {
      return;
    }
    await this.state.store.saveVote({ term, votedFor });
    if (isLater) {
      this.endLeadership();
      this.state.role = 'follower';
      this.state.leaderId = undefined;
    }
  }

  /** Stops the replica permanently, because its disk or its state machine can no longer be trusted. */
  private fail(err: Error): void {
    if (this.failure !== undefined || this.stop.signal.aborted) {
      return;
    }
    this.failure = err;
    this.state.logService.error('replica-stopped', { reason: err.message });
    this.failureEmitter.fire(err);
    this.dispose();
  }
}
