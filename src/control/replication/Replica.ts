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

/** What a replica works with. */
export interface IReplicaServices {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly logService: services.ILogService;
  readonly stateMachine: controlTypes.IStateMachine;
  readonly transport: types.IPeerTransport;
  readonly disk: logTypes.IDisk;
}

/**
 * One replica of the log: a leader with a quorum orders the commands, every replica applies them.
 *
 * @example
 * const log = await Replica.open({ id: 'c1', dataDir, members }, services);
 * const result = await log.propose(command);
 */
export class Replica implements controlTypes.IReplicatedLog {
  private readonly owned = new disposableStore.DisposableStore();

  private readonly stop = new AbortController();

  private readonly applier: applier.Applier;

  private readonly changer: membershipChanger.MembershipChanger;

  private lead: leadership.Leadership | undefined;

  private failure: Error | undefined;

  private readonly leadershipChanged = new emitter.Emitter<boolean>();

  private readonly failed = new emitter.Emitter<Error>();

  /** @inheritdoc */
  readonly onLeadership = this.leadershipChanged.event;

  /** @inheritdoc */
  readonly onFailed = this.failed.event;

  private constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly founding: readonly types.IFoundingMember[],
    stateMachine: controlTypes.IStateMachine,
  ) {
    this.owned.add(state.store);
    this.owned.add(this.leadershipChanged);
    this.owned.add(this.failed);
    const listener: applier.AppliedListener = (entry, result) => this.noteApplied(entry, result);
    this.applier = this.owned.add(new applier.Applier(state, stateMachine, listener));
    this.changer = new membershipChanger.MembershipChanger(state);
    this.owned.add(state.store.onFailed((err) => this.fail(err)));
  }

  /**
   * Opens the data folder and takes part in the group.
   *
   * @throws FolderLockedError, CorruptLogError, StorageError; RangeError for a tuning out of bounds.
   */
  static async open(options: types.IReplicaOptions, needs: IReplicaServices): Promise<Replica> {
    const tuned = tuning.completeTuning(options.tuning);
    const { clock, random, transport, disk } = needs;
    const logService = needs.logService.child({ replica: options.id });
    const store = await logStore.LogStore.open(
      disk,
      options.dataDir,
      options.id,
      random,
      logService,
    );
    const state = new replicaState.ReplicaState(store, clock, random, logService, transport, tuned);
    const replica = new Replica(state, options.members, needs.stateMachine);
    replica.start();
    return replica;
  }

  /** @inheritdoc */
  get onApplied(): commonTypes.IEvent<number> {
    return this.applier.onApplied;
  }

  /** @inheritdoc */
  async propose(command: Uint8Array): Promise<Uint8Array> {
    const { maxCommandBytes } = this.state.tuning;
    if (command.length > maxCommandBytes) {
      throw new RangeError(`command of ${command.length} bytes; the limit is ${maxCommandBytes}`);
    }
    return this.requireLead().propose(command);
  }

  /** @inheritdoc */
  async readBarrier(): Promise<void> {
    return this.requireLead().confirmRead();
  }

  /** @inheritdoc */
  async changeMembership(change: controlTypes.IMembershipChange): Promise<void> {
    const { action, id, address } = change;
    this.state.logService.info('membership-change', { action, id, address });
    await this.changer.change(this.requireLead(), change);
  }

  /** @inheritdoc */
  status(): controlTypes.IReplicaStatus {
    const { self, role, term, leaderId, commitIndex, members } = this.state;
    return {
      id: self.id,
      incarnation: self.incarnation,
      role: members.find(self.id)?.voter === false ? 'learner' : role,
      term,
      leaderId,
      commitIndex,
      appliedIndex: this.applier.appliedIndex,
      members: members.current,
    };
  }

  /** Time since a peer answered this leader; undefined when this replica does not lead. */
  timeSinceAnswer(id: string): commonTypes.Millis | undefined {
    return this.lead?.silenceOf(id);
  }

  /** Syncs of the log since the start, for the measure of the group commit. */
  get syncs(): number {
    return this.state.store.syncs;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('replica closed'));
    this.endLead();
    this.owned.dispose();
  }

  private start(): void {
    const handler = new requestHandler.RequestHandler(this.state, this.applier, {
      adoptTerm: (term, votedFor) => this.adoptTerm(term, votedFor),
    });
    this.owned.add(this.state.transport.serve((req) => this.serve(handler, req)));
    const task = new election.Election(this.state, {
      onElected: (term) => this.startLead(term),
      onLaterTerm: (term) => this.takeLaterTerm(term),
      onFailed: (err) => this.fail(err),
    });
    this.owned.add(task);
    void this.found().catch((err: Error) => this.fail(err));
    void task.run();
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

  private async found(): Promise<void> {
    const { signal } = this.stop;
    const members = await founder.findFoundingMembers(this.state, this.founding, signal);
    if (members === undefined) {
      return;
    }
    await this.state.serial.run(async () => {
      if (!this.state.blank || signal.aborted) {
        return;
      }
      const meta = founder.foundingMeta(members);
      await this.adoptTerm(Math.max(meta.term, this.state.term));
      await this.applier.install({ meta, data: this.applier.encodeState() });
      this.state.logService.info('group-founded', { members: members.length });
    });
  }

  private requireLead(): leadership.Leadership {
    if (this.lead === undefined) {
      const { leaderId, members } = this.state;
      const address = leaderId === undefined ? undefined : members.find(leaderId)?.address;
      throw new notLeader.NotLeaderError(leaderId, address);
    }
    return this.lead;
  }

  private startLead(term: number): void {
    // Votes may arrive after the replica was closed: its peer tasks would then run with no owner.
    if (this.stop.signal.aborted) {
      return;
    }
    const lead = new leadership.Leadership(term, this.state, {
      onCommit: (index) => this.commit(index),
      onLost: (later, reason) => this.loseLead(later, reason),
    });
    this.lead = lead;
    this.state.role = 'leader';
    this.state.leaderId = this.state.self.id;
    this.state.logService.info('leadership-won', { term });
    lead.start();
    this.leadershipChanged.fire(true);
  }

  private commit(index: number): void {
    try {
      this.applier.commit(index);
    } catch (err) {
      this.fail(err as Error);
    }
  }

  private noteApplied(entry: logTypes.IEntry, result: Uint8Array): void {
    this.lead?.noteApplied(entry, result);
    const { members, self } = this.state;
    const removed = entry.kind === 'members' && members.find(self.id) === undefined;
    if (removed && this.lead !== undefined) {
      this.loseLead(undefined, 'removed');
    }
  }

  private loseLead(later: number | undefined, reason: string): void {
    this.state.logService.warn('leadership-lost', { term: this.state.term, reason });
    this.endLead();
    if (later !== undefined) {
      void this.takeLaterTerm(later).catch((err: Error) => this.fail(err));
    }
  }

  private endLead(): void {
    const { lead } = this;
    if (lead === undefined) {
      return;
    }
    this.lead = undefined;
    this.state.role = 'follower';
    this.state.leaderId = undefined;
    this.state.quietSince = this.state.clock.monotonic();
    lead.dispose();
    this.leadershipChanged.fire(false);
  }

  private takeLaterTerm(term: number): Promise<void> {
    return this.state.serial.run(() => this.adoptTerm(term));
  }

  /** Makes a later term, or a vote, durable; nothing is answered in it before. */
  private async adoptTerm(term: number, votedFor?: string): Promise<void> {
    const { vote } = this.state.store;
    const isLater = term > vote.term;
    const isNewVote = term === vote.term && votedFor !== undefined && vote.votedFor !== votedFor;
    if (!isLater && !isNewVote) {
      return;
    }
    await this.state.store.saveVote({ term, votedFor });
    if (isLater) {
      this.endLead();
      this.state.role = 'follower';
      this.state.leaderId = undefined;
    }
  }

  /** Stops for good: what is on the disk or in the state machine can no longer be trusted. */
  private fail(err: Error): void {
    if (this.failure !== undefined || this.stop.signal.aborted) {
      return;
    }
    this.failure = err;
    this.state.logService.error('replica-stopped', { reason: err.message });
    this.failed.fire(err);
    this.dispose();
  }
}
