import * as emitter from '../common/Emitter.js';
import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as routing from '../routing/Types.js';
import * as feedConnection from './FeedConnection.js';
import * as heldResults from './HeldResults.js';
import * as leaderSearch from './LeaderSearch.js';
import type * as types from './Types.js';

/** A control VM that sent nothing for this long is given up; three times its interval. */
const SILENCE_MS = 800;
/** A coordinator that sent nothing for this long may have a successor; its interval and the time of an election. */
const LOOK_AFTER_MS = 450;
/** Wait for the first message of a control VM. */
const FIRST_MESSAGE_MS = 700;
/** Between two tries. */
const RETRY_MS = 100;
/** Between two signs of life. */
const ALIVE_MS = 1000;
/** A control VM that knows no leader is kept for this long before the next is asked. */
const LEADERLESS_MS = 600;

/** What a feed client works with. */
export interface IFeedClientDependencies extends leaderSearch.ILeaderSearchDependencies {
  readonly random: commonTypes.IRandom;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  /** Endpoints as this VM knows them. */
  readonly endpoints: () => routing.IEndpointList;
}

interface IPending {
  readonly resolve: (outcome: types.PlanOutcome) => void;
}

const LOST: types.PlanOutcome = { kind: 'refused', reason: 'lost', retryAfter: 100 };

/** Keeps one connection to the control VM that coordinates, and finds the next when it is lost. */
export class FeedClient implements types.IPlanner, commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private readonly pending = new Map<string, IPending>();

  private leader: string | undefined;

  private connection: feedConnection.FeedConnection | undefined;

  private readonly search: leaderSearch.LeaderSearch;

  private leads = false;

  private confirmed = false;

  private probing = false;

  private reportedEntryCount = 1;

  private position: number;

  private readonly documents = new emitter.Emitter<{ version: number; text: string }>();

  private readonly lists = new emitter.Emitter<routing.IEndpointList>();

  /** Fires with each configuration that arrives. */
  readonly onDocument = this.documents.event;

  /** Fires with each list of endpoints. */
  readonly onEndpoints = this.lists.event;

  /** Newest version that this VM has in force; told to control VMs. */
  version = 0;

  private lostAt: commonTypes.Millis;

  private readonly held: heldResults.HeldResults;

  /** Number of the present connection; plans of earlier ones are unknown to the coordinator. */
  private sessionNumber = 0;

  /** Results to give back once there is a coordinator. */
  private spares: batching.IResultRecord[] = [];

  /** Connects once `start` is called. */
  constructor(private readonly needs: IFeedClientDependencies) {
    this.position = needs.random.nextInt(64);
    this.lostAt = needs.clock.monotonic();
    this.held = new heldResults.HeldResults(needs.clock);
    this.search = new leaderSearch.LeaderSearch(needs);
  }

  /** Runs until disposed. */
  start(): void {
    void this.run();
  }

  /** Whether a coordinator is connected. */
  get isConnected(): boolean {
    return this.leads;
  }

  /** Time since the coordinator was lost; 0 while connected. */
  get disconnectedFor(): commonTypes.Millis {
    return this.leads ? 0 : this.needs.clock.monotonic() - this.lostAt;
  }

  /** Entry VMs that the coordinator serves. */
  get entryCount(): number {
    return this.reportedEntryCount;
  }

  /** @inheritdoc */
  plan(req: types.IPlanRequest): Promise<types.PlanOutcome> {
    this.held.track(req.planId, this.sessionNumber, req.held);
    return this.ask(req.planId, { kind: 'plan', plan: req });
  }

  /** Results that the coordinator made for a plan of this VM. */
  resultsOf(planId: string): readonly batching.IResultRecord[] {
    return this.held.resultsOf(planId);
  }

  /** Another plan goes on with the results of this one. */
  forget(planId: string): void {
    this.held.forget(planId);
  }

  /** @inheritdoc */
  reassign(planId: string, failed: string): Promise<types.PlanOutcome> {
    return this.ask(planId, { kind: 'again', planId, failed });
  }

  /** @inheritdoc */
  cancel(planId: string): void {
    this.pending.delete(planId);
    this.finish(planId, { kind: 'cancel', planId });
  }

  /** @inheritdoc */
  markStarted(planId: string): void {
    this.finish(planId, { kind: 'started', planId });
  }

  /** @inheritdoc */
  markEnded(planId: string, failed?: string): void {
    this.finish(planId, { kind: 'ended', planId, ...(failed === undefined ? {} : { failed }) });
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('feed client closed'));
    this.connection?.dispose();
  }

  /** The results of a plan are used or not wanted: its coordinator is told, or its successor gives them back. */
  private finish(planId: string, message: types.UpMessage): void {
    const records = this.held.resultsOf(planId);
    if (records.length === 0 || this.held.belongsTo(planId, this.sessionNumber)) {
      this.send(message);
    } else {
      this.spares.push(...records);
      this.sendSpares();
    }
    this.held.forget(planId);
  }

  private sendSpares(): void {
    const records = this.spares;
    if (this.leads && records.length > 0) {
      this.spares = [];
      this.send({ kind: 'spare', records });
    }
  }

  private ask(planId: string, message: types.UpMessage): Promise<types.PlanOutcome> {
    if (!this.leads) {
      return Promise.resolve(LOST);
    }
    return new Promise((resolve) => {
      this.pending.set(planId, { resolve });
      this.send(message);
    });
  }

  private send(message: types.UpMessage): void {
    if (this.leads) {
      this.connection?.write(message);
    }
  }

  private async run(): Promise<void> {
    const { clock } = this.needs;
    while (!this.stop.signal.aborted) {
      const address = (await this.search.find(undefined)) ?? this.nextAddress();
      if (address !== undefined) {
        await this.session(address);
      }
      await clock.sleep(RETRY_MS, this.stop.signal).catch(() => {});
    }
  }

  /** The leader that was named, then every control VM that is known in turn. */
  private nextAddress(): string | undefined {
    const { leader } = this;
    this.leader = undefined;
    if (leader !== undefined) {
      return leader;
    }
    const { knownAddresses } = this.search;
    this.position += 1;
    return knownAddresses[this.position % Math.max(1, knownAddresses.length)];
  }

  /** One connection, from its opening until it is lost or leads elsewhere. */
  private async session(address: string): Promise<void> {
    const { clock, vm } = this.needs;
    const connection = new feedConnection.FeedConnection(address, clock, (message) =>
      this.take(message, address),
    );
    this.connection = connection;
    this.sessionNumber += 1;
    connection.write({ kind: 'hello', vm, version: this.version });
    let told = clock.monotonic();
    while (connection.endReason === undefined && !this.stop.signal.aborted) {
      await clock.sleep(RETRY_MS, this.stop.signal).catch(() => {});
      this.review(connection);
      if (this.leads && clock.monotonic() - told > ALIVE_MS) {
        told = clock.monotonic();
        connection.write({ kind: 'alive' });
      }
    }
    this.noteLost(connection);
    connection.dispose();
  }

  /** Gives a connection up that is silent or leads elsewhere, and looks for a successor in time. */
  private review(connection: feedConnection.FeedConnection): void {
    const { address, idleDuration, hasReceived } = connection;
    if (idleDuration > (hasReceived ? SILENCE_MS : FIRST_MESSAGE_MS)) {
      connection.end('silent');
    } else if ((!this.leads || this.isDoubtful) && (this.leader ?? address) !== address) {
      connection.end('not-the-leader');
    } else if (!this.leads && connection.age > LEADERLESS_MS) {
      connection.end('no-leader');
    }
    if (this.leads && this.isDoubtful) {
      void this.look(address);
    }
  }

  private noteLost({ address, endReason }: feedConnection.FeedConnection): void {
    const { clock, logService, metrics } = this.needs;
    if (this.leads) {
      logService.warn('coordinator-lost', { address, reason: endReason, plans: this.pending.size });
      metrics.count('coordinator_lost');
      this.lostAt = clock.monotonic();
    }
    this.leads = false;
    this.failPending();
  }

  /** Whether the present coordinator has no quorum, or has been silent. */
  private get isDoubtful(): boolean {
    return !this.confirmed || (this.connection?.idleDuration ?? 0) > LOOK_AFTER_MS;
  }

  /** Looks for a confirmed leader elsewhere while the present coordinator is in doubt. */
  private async look(present: string): Promise<void> {
    if (this.probing) {
      return;
    }
    this.probing = true;
    const found = await this.search.find(present);
    this.probing = false;
    if (found !== undefined && this.isDoubtful) {
      this.leader = found;
    }
  }

  private take(message: types.DownMessage, address: string): void {
    switch (message.kind) {
      case 'state':
        this.takeState(message, address);
        break;
      case 'document':
        this.documents.fire(message);
        break;
      case 'endpoints':
        this.lists.fire(message.list);
        break;
      case 'made':
        message.made.forEach(({ planId, record }) => this.held.add(planId, record));
        break;
      default: {
        const waiting = this.pending.get(message.planId);
        this.pending.delete(message.planId);
        waiting?.resolve(message.outcome);
      }
    }
  }

  private takeState(state: types.DownMessage & { kind: 'state' }, address: string): void {
    this.search.noteMembers(state.members);
    this.reportedEntryCount = Math.max(1, state.entries);
    if (state.leads && !this.leads) {
      this.needs.logService.info('coordinator-found', { address, term: state.term });
    }
    if (this.leads && !state.leads) {
      this.lostAt = this.needs.clock.monotonic();
      this.failPending();
    }
    this.leads = state.leads;
    this.confirmed = state.confirmed;
    this.leader = state.leads ? undefined : state.leader;
    if (state.wantsEndpoints && this.needs.endpoints().revision > 0) {
      this.connection?.write({ kind: 'endpoints', list: this.needs.endpoints() });
    }
    this.sendSpares();
  }

  private failPending(): void {
    const waiting = [...this.pending.values()];
    this.pending.clear();
    waiting.forEach(({ resolve }) => resolve(LOST));
  }
}
