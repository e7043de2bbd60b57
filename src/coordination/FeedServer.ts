import type * as grpc from '@grpc/grpc-js';
import type * as blameTable from '../blame/BlameTable.js';
import type * as batching from '../batching/Types.js';
import * as recentMaximum from '../common/RecentMaximum.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as documentState from '../control/document/DocumentState.js';
import type * as controlTypes from '../control/Types.js';
import type * as coldEndpoints from '../ratelimit/ColdEndpoints.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as roomKeeper from '../room/RoomKeeper.js';
import type * as routing from '../routing/Types.js';
import type * as zoneState from '../zones/ZoneState.js';
import type * as coordinator from './Coordinator.js';
import * as blameExchange from './BlameExchange.js';
import * as feedCodec from './FeedCodec.js';
import * as feedTraffic from './FeedTraffic.js';
import * as listRequests from './ListRequests.js';
import * as newsFeed from './NewsFeed.js';
import * as pacedSender from './PacedSender.js';
import * as planAdmission from './PlanAdmission.js';
import * as planShape from './PlanShape.js';
import * as rateLimitExchange from './RateLimitExchange.js';
import * as relayExchange from './RelayExchange.js';
import * as roomExchange from './RoomExchange.js';
import * as sessionStream from './SessionStream.js';
import * as slicedQueue from './SlicedQueue.js';
import * as topicFeeds from './TopicFeeds.js';
import type * as types from './Types.js';

/** Interval of the state messages to each entry VM. */
const STATE_INTERVAL_MS = 250;
/** Interval of the state messages to VMs that stand by; a change of the leader is sent at once. */
const STANDBY_STATE_INTERVAL_MS = 1000;
/** A session that has sent no message for this long is closed. */
const SESSION_SILENCE_TIMEOUT_MS = 3000;
/**
 * Plans of a closed session are kept for this long, because its VM may continue with their results at a successor of
 * this coordinator.
 */
const PLAN_HANDOVER_MS = 1000;
/** Results completed within this interval are sent to an entry VM in one message. */
const RESULT_BATCH_INTERVAL_MS = 10;
/** A control VM that has known no leader for this long sends entry VMs the configuration that it holds. */
const LEADERLESS_TIMEOUT_MS = 1500;
/** Time for which the highest number of entry VMs is reported, so that it does not fall while they change connections. */
const ENTRY_COUNT_WINDOW_MS = 10_000;

/** Interval of the log lines on the load of a coordinator. */
const LOAD_INTERVAL_MS = 1000;
const MICROS_PER_MS = 1000;

/**
 * Longest time that plan requests wait before new ones of each priority are refused: a coordinator that is later loses
 * more requests by its delay than it gains. The last value applies to all less urgent priorities.
 */
const MAX_PLAN_WAITS_MS: readonly commonTypes.Millis[] = [200, 150, 100];
/** The same as a part of the request's goal. */
const MAX_PLAN_WAIT_GOAL_RATIO = 1 / 8;
/** The same for a request with one stage or none, as a part of that for longer chains: its VM can plan it alone. */
const SINGLE_STAGE_WAIT_RATIO = 0.5;

/** Time after which the caller of a plan that failed for an unexpected error may come back. */
const FAILED_PLAN_RETRY_MS = 1000;

/** Messages that wait and are still of use after their session was closed. */
const OUTLIVING_KINDS: ReadonlySet<types.UpMessage['kind']> = new Set([
  'cancel',
  'hedge-end',
  'started',
  'ended',
  'spare',
  'limits',
  'rejection-limits',
  'room-end',
  'blame',
  'streams',
]);
/** Messages that are answered with the state, the configuration or the endpoint list; they go before all others. */
const URGENT_KINDS: ReadonlySet<types.UpMessage['kind']> = new Set([
  'hello',
  'probe',
  'endpoints',
  'resend',
]);

/** Whether the VM of a session knows the outcome of a plan. */
type PlanProgress = 'pending' | 'ready';

interface ISession {
  readonly stream: sessionStream.SessionStream;
  /** Name of the VM; empty before its `hello`. */
  vm: string;
  /** Whether the VM uses another control VM so far. */
  isStandby: boolean;
  version: number;
  /** Revision of the set of closed zones that was sent to the VM in this session. */
  zonesRevision: number;
  /** Whether the VM had a configuration when it connected. */
  hasConfiguration: boolean;
  /** Address at which the VM connects others to endpoints; undefined if it does not. */
  relay: string | undefined;
  /** Digests of the texts that the VM holds; undefined if it takes no updates. */
  held: Map<types.FeedTopic, string> | undefined;
  lastReceivedAt: commonTypes.Millis;
  /** Plans of the VM that have not ended, by id. */
  readonly plans: Map<string, PlanProgress>;
  /** Results that have not been sent to the VM yet. */
  pendingResults: types.IPlanResult[];
}

/** Components that a feed server uses. */
export interface IFeedServerDependencies {
  readonly log: controlTypes.IReplicatedLog;
  readonly document: documentState.DocumentState;
  /** Availability zones out of service; absent if none is ever. */
  readonly zones?: zoneState.ZoneState;
  readonly directory: endpointDirectory.EndpointDirectory;
  readonly coordinator: coordinator.Coordinator;
  readonly rateLimitTable: rateLimitTable.RateLimitTable;
  readonly rateLimiter: rateLimits.IEndpointRateLimiter;
  /** Endpoints that are cold; absent if none can be. */
  readonly cold?: coldEndpoints.ColdEndpoints;
  readonly blameTable: blameTable.BlameTable;
  /** Rejections in a second that endpoints bear. */
  readonly rejectionLimits: rateLimitTable.RateLimitTable;
  readonly roomKeeper: roomKeeper.RoomKeeper;
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  /** Receives the addresses of entry VMs that connect this VM to endpoints. */
  readonly onRelays: (relays: readonly string[]) => void;
  /** Mean rate at which configurations, endpoint lists and news of crashes are sent to all entry VMs together. */
  readonly broadcastBytesPerMs: number;
}

/**
 * Serves the feed to entry VMs: sends configurations, endpoint lists and plan outcomes, and passes plan
 * requests to the coordinator while this control VM coordinates.
 */
export class FeedServer implements commonTypes.IDisposable {
  private readonly sessions = new Set<ISession>();

  private readonly subscriptions: commonTypes.IDisposable[] = [];

  private readonly stopController = new AbortController();

  private readonly rateLimitExchange: rateLimitExchange.RateLimitExchange;

  private readonly blameExchange: blameExchange.BlameExchange;

  private readonly roomExchange: roomExchange.RoomExchange;

  private readonly relayExchange: relayExchange.RelayExchange;

  private isCoordinating = false;

  /** Number of connections that were ever accepted. */
  private openedSessions = 0;

  /** Endpoint list that was sent to all entry VMs last. */
  private sentList: routing.IEndpointList | undefined;

  private leaderSeenAt: commonTypes.Millis;

  /** Role and leader in the latest state that was sent to VMs that stand by, and when. */
  private standbyState = { summary: '', sentAt: 0 };

  private readonly recentEntryCount: recentMaximum.RecentMaximum;

  private readonly traffic: feedTraffic.FeedTraffic;

  private readonly feeds: topicFeeds.TopicFeeds;

  private readonly news: newsFeed.NewsFeed;

  private readonly listRequests: listRequests.ListRequests;

  private readonly inbox: slicedQueue.SlicedQueue;

  /** Registers the feed service at `server` and starts to send the state to entry VMs at a fixed interval. */
  constructor(
    server: grpc.Server,
    private readonly deps: IFeedServerDependencies,
  ) {
    this.leaderSeenAt = deps.clock.monotonic();
    this.recentEntryCount = new recentMaximum.RecentMaximum(deps.clock, ENTRY_COUNT_WINDOW_MS);
    this.traffic = new feedTraffic.FeedTraffic(deps.clock, deps.metrics);
    const { clock, broadcastBytesPerMs } = deps;
    const sender = new pacedSender.PacedSender(clock, broadcastBytesPerMs);
    this.feeds = new topicFeeds.TopicFeeds(sender, this.traffic);
    this.news = new newsFeed.NewsFeed(clock, sender, this.traffic);
    this.listRequests = new listRequests.ListRequests(clock);
    this.inbox = new slicedQueue.SlicedQueue(clock, () =>
      deps.metrics.count('feed_messages_deferred'),
    );
    server.addService(feedCodec.FEED_SERVICE, {
      open: (stream: sessionStream.ServerStream) => this.openSession(stream),
    });
    this.rateLimitExchange = new rateLimitExchange.RateLimitExchange(
      deps.rateLimitTable,
      deps.rateLimiter,
      (message) => this.broadcast(message),
      'limits',
      deps.cold && { endpoints: deps.cold, clock },
    );
    this.roomExchange = new roomExchange.RoomExchange(
      deps.roomKeeper,
      new rateLimitExchange.RateLimitExchange(
        deps.rejectionLimits,
        deps.rateLimiter,
        (message) => this.broadcast(message),
        'rejection-limits',
      ),
    );
    this.blameExchange = new blameExchange.BlameExchange(deps.blameTable, clock, ({ news }) =>
      this.news.send(
        this.greetedSessions.map(({ stream }) => stream),
        news,
      ),
    );
    this.relayExchange = new relayExchange.RelayExchange(
      deps.clock,
      deps.random,
      () =>
        this.greetedSessions.map(({ relay, stream }) => ({
          relay,
          send: (message) => stream.write(message),
        })),
      deps.onRelays,
    );
    this.subscriptions.push(
      sender,
      this.inbox,
      this.rateLimitExchange,
      this.blameExchange,
      this.relayExchange,
      this.roomExchange,
      deps.document.onChange((document) => this.handleDocument(document)),
      ...(deps.zones === undefined ? [] : [deps.zones.onChange(() => this.broadcastDocument())]),
      deps.directory.onChange((list) => this.handleEndpoints(list)),
      deps.log.onLeadership((leads) => this.handleLeadership(leads)),
    );
    void this.runStateLoop();
    void this.runLoadLoop();
  }

  /** Whether this control VM plans requests: it leads the group, or led it last and has seen no newer leader. */
  get isCoordinator(): boolean {
    return this.isCoordinating;
  }

  /** Number of connected entry VMs. */
  get entryCount(): number {
    const names = [...this.sessions].map(({ vm }) => vm).filter((vm) => vm !== '');
    return new Set(names).size;
  }

  /** Sessions of VMs that use this control VM; the others stand by. */
  private get greetedSessions(): readonly ISession[] {
    return [...this.sessions].filter(({ vm }) => vm !== '');
  }

  /** @inheritdoc */
  dispose(): void {
    this.stopController.abort(new Error('feed server disposed'));
    this.subscriptions.forEach((subscription) => subscription.dispose());
    this.sessions.forEach((session) => session.stream.end());
  }

  private async runStateLoop(): Promise<void> {
    const { clock } = this.deps;
    while (!this.stopController.signal.aborted) {
      this.broadcastState();
      this.closeSilentSessions();
      await clock.sleep(STATE_INTERVAL_MS, this.stopController.signal).catch(() => {});
    }
  }

  /** Logs what a coordinator has to do, and the part of a processor that its process uses for it. */
  private async runLoadLoop(): Promise<void> {
    const { clock, logService, coordinator: planner } = this.deps;
    const { signal } = this.stopController;
    while (!signal.aborted) {
      const startedAt = clock.monotonic();
      const usage = process.cpuUsage();
      const opened = this.openedSessions;
      await clock.sleep(LOAD_INTERVAL_MS, signal).catch(() => {});
      const { user, system } = process.cpuUsage(usage);
      const took = Math.max(1, clock.monotonic() - startedAt);
      if (this.isCoordinating) {
        logService.info('coordinator-load', {
          processor: ((user + system) / MICROS_PER_MS / took).toFixed(2),
          late: Math.round(took - LOAD_INTERVAL_MS),
          vms: this.entryCount,
          opened: this.openedSessions - opened,
          waitingMessages: this.inbox.length,
          plans: planner.planCount,
        });
      }
    }
  }

  private openSession(stream: sessionStream.ServerStream): void {
    const now = this.deps.clock.monotonic();
    const plans = new Map<string, PlanProgress>();
    const session: ISession = {
      stream: new sessionStream.SessionStream(stream, this.traffic),
      vm: '',
      isStandby: false,
      version: 0,
      zonesRevision: 0,
      hasConfiguration: false,
      relay: undefined,
      held: undefined,
      lastReceivedAt: now,
      plans,
      pendingResults: [],
    };
    this.sessions.add(session);
    this.openedSessions += 1;
    stream.on('data', (message: types.UpMessage) => this.receive(session, message));
    stream.on('error', (err: Error) => this.closeSession(session, err.message));
    stream.on('end', () => this.closeSession(session, 'ended'));
    stream.on('cancelled', () => this.closeSession(session, 'cancelled'));
  }

  private closeSession(session: ISession, reason: string): void {
    if (!this.sessions.delete(session)) {
      return;
    }
    if (!session.isStandby) {
      this.deps.logService.info('feed-closed', { vm: session.vm, reason });
    }
    session.stream.end();
    this.roomExchange.disconnect(session.vm);
    this.abandonPlans(session);
    this.deps.clock.setTimer(PLAN_HANDOVER_MS, () => {
      this.moveReadyPlans(session);
      this.abandonPlans(session);
      session.plans.forEach((_, id) => this.deps.coordinator.cancel(id));
    });
  }

  /**
   * Moves the plans whose outcome the VM knows to its current session, if it has one: the VM continues them. It requests
   * the others again.
   */
  private moveReadyPlans(closed: ISession): void {
    const successor = [...this.sessions].filter(({ vm }) => vm === closed.vm).at(-1);
    if (successor === undefined) {
      return;
    }
    [...closed.plans]
      .filter(([, progress]) => progress === 'ready')
      .forEach(([id, progress]) => {
        closed.plans.delete(id);
        if (this.deps.coordinator.hasPlan(id)) {
          successor.plans.set(id, progress);
        }
      });
  }

  /**
   * Abandons the plans of a session, unless this VM leads the group: without a quorum a successor may
   * exist, which continues the plans with their results.
   */
  private abandonPlans(session: ISession): void {
    const { log, coordinator: planner } = this.deps;
    if (log.status().role !== 'leader') {
      session.plans.forEach((_, id) => planner.abandon(id));
    }
  }

  private closeSilentSessions(): void {
    const now = this.deps.clock.monotonic();
    [...this.sessions]
      .filter((session) => now - session.lastReceivedAt > SESSION_SILENCE_TIMEOUT_MS)
      .forEach((session) => this.closeSession(session, 'silent'));
  }

  /**
   * Handles a message in its turn, so that what many VMs send at once does not hold up heartbeats of the group. Plan
   * requests come last, because all other messages end plans or free what plans wait for; if they already wait too long, a
   * new one is refused at once.
   */
  private receive(session: ISession, message: types.UpMessage): void {
    Object.assign(session, { lastReceivedAt: this.deps.clock.monotonic() });
    const { kind } = message;
    if (kind === 'plan') {
      this.receivePlan(session, message.plan);
      return;
    }
    const handle = (): void => {
      if (this.sessions.has(session) || OUTLIVING_KINDS.has(kind)) {
        this.handleMessage(session, message);
      }
    };
    this.inbox.add(handle, URGENT_KINDS.has(kind) ? 'high' : 'normal');
  }

  private receivePlan(session: ISession, plan: types.IPlanRequest): void {
    const maxWait = maxPlanWait(plan);
    const mayRefuse = plan.held.length === 0 && plan.continuedId === undefined;
    const waited = this.inbox.waitOf('low');
    if (mayRefuse && waited > maxWait) {
      this.refuseLatePlan(session, plan, waited);
      return;
    }
    session.plans.set(plan.planId, 'pending');
    this.inbox.add((delay) => {
      if (!this.sessions.has(session) || !session.plans.has(plan.planId)) {
        return;
      }
      if (mayRefuse && delay > maxWait) {
        this.refuseLatePlan(session, plan, delay);
        return;
      }
      const goalLeft = Math.max(1, plan.goalLeft - delay);
      this.startPlan(session, { ...plan, goalLeft, deadlineLeft: plan.deadlineLeft - delay });
    }, 'low');
  }

  /** Refuses a plan that this coordinator would begin too late, without planning it. */
  private refuseLatePlan(
    session: ISession,
    plan: types.IPlanRequest,
    waited: commonTypes.Millis,
  ): void {
    const { logService, metrics } = this.deps;
    const { planId, requestId, service, priority } = plan;
    session.plans.delete(planId);
    const outcome = { ...planAdmission.refuseOverloaded(plan), isPlannerBusy: true };
    const { reason, retryAfter } = outcome;
    const fields = { request: requestId, service, priority, reason, retryAfter };
    logService.info('plan-refused', { ...fields, inboxWait: Math.round(waited) });
    metrics.count('plan_refused_by_inbox');
    session.stream.write({ kind: 'planned', planId, outcome });
  }

  private handleMessage(session: ISession, message: types.UpMessage): void {
    const { coordinator: planner } = this.deps;
    const send = (down: types.DownMessage): void => {
      session.stream.write(down);
    };
    switch (message.kind) {
      case 'hello':
        this.recentEntryCount.record(message.entries ?? 0);
        Object.assign(session, {
          relay: message.relay,
          held: message.held && new Map(Object.entries(message.held)),
        });
        this.handleHello(session, message.vm, message.version);
        break;
      case 'probe':
        this.sessions.delete(session);
        this.refreshRole();
        session.stream.write(this.buildState());
        session.stream.end();
        break;
      case 'standby':
        Object.assign(session, { isStandby: true });
        this.refreshRole();
        session.stream.write(this.buildState());
        break;
      case 'spare':
        planner.freeResults(message.records);
        break;
      case 'endpoints':
        this.adoptEndpoints(session, message.list);
        break;
      case 'again':
        session.plans.set(message.planId, 'pending');
        void this.sendOutcome(
          session,
          message.planId,
          planner.reassign(message.planId, message.failed, failureOf(message)),
        );
        break;
      case 'hedge':
        void this.sendHedge(session, message.planId);
        break;
      case 'hedge-end':
        planner.settleHedge(message.planId, message.end);
        break;
      case 'cancel':
        session.plans.delete(message.planId);
        planner.cancel(message.planId);
        break;
      case 'started':
        planner.markStarted(message.planId, message.isError !== true, message.slowdown);
        break;
      case 'ended':
        session.plans.delete(message.planId);
        planner.markEnded(message.planId, message.failed, message.eventGap);
        break;
      case 'limits':
        this.rateLimitExchange.handleLimits(session.vm, message.observations, send);
        break;
      case 'cold':
        this.rateLimitExchange.handleCold(message.statements);
        break;
      case 'room':
      case 'room-end':
      case 'rooms':
      case 'rejection-limits':
        this.roomExchange.handle(session.vm, message, this.isCoordinating, send);
        break;
      case 'blame':
        this.blameExchange.handleNews(message.news);
        break;
      case 'streams':
        planner.streams.merge(message.streams);
        break;
      case 'trial':
        this.blameExchange.handleTrial(session.vm, message, this.isCoordinating, send);
        break;
      case 'resend':
        this.resend(session, message.topic);
        break;
      case 'permit':
        this.rateLimitExchange.handlePermit(
          message.permitId,
          message.endpointId,
          this.isCoordinating,
          send,
        );
        break;
      default:
    }
  }

  private handleHello(session: ISession, vm: string, version: number): void {
    Object.assign(session, { vm, isStandby: false, hasConfiguration: version > 0, version });
    this.refreshRole();
    this.deps.logService.info('feed-opened', { vm, version, leads: this.isCoordinating });
    session.stream.write(this.buildState(this.takeListRequest(session)));
    this.sendDocumentTo(session);
    this.rateLimitExchange.greet((message) => session.stream.write(message));
    this.blameExchange.greet(({ news }) => this.news.send([session.stream], news));
    this.roomExchange.greet((message) => session.stream.write(message));
    this.relayExchange.greet(session.relay, (message) => session.stream.write(message));
    this.sendEndpointsTo(session);
  }

  private startPlan(session: ISession, plan: types.IPlanRequest): void {
    const { planId } = plan;
    const onResult = (record: batching.IResultRecord): void =>
      this.queueResult(session, { planId, record });
    void this.sendOutcome(session, planId, this.deps.coordinator.plan(plan, onResult));
  }

  private queueResult(session: ISession, result: types.IPlanResult): void {
    session.pendingResults.push(result);
    if (session.pendingResults.length === 1) {
      this.deps.clock.setTimer(RESULT_BATCH_INTERVAL_MS, () => {
        const results = session.pendingResults;
        Object.assign(session, { pendingResults: [] });
        if (this.sessions.has(session)) {
          session.stream.write({ kind: 'made', made: results });
        }
      });
    }
  }

  /** Adopts the endpoint list of an entry VM while this coordinator has not read one itself. */
  private adoptEndpoints(session: ISession, list: routing.IEndpointList): void {
    const { directory, logService } = this.deps;
    if (this.isCoordinating && directory.current.revision === 0 && list.revision > 0) {
      const { revision, endpoints } = list;
      const fields = { vm: session.vm, revision, endpoints: endpoints.length };
      logService.info('endpoints-taken-over', fields);
      directory.replace(list);
      this.sendState();
    }
  }

  private async sendOutcome(
    session: ISession,
    planId: string,
    pending: Promise<types.PlanOutcome>,
  ): Promise<void> {
    const outcome = await pending.catch((err: Error) => this.refuseFailed(planId, err));
    if (outcome.kind === 'refused') {
      session.plans.delete(planId);
    }
    if (this.sessions.has(session)) {
      if (outcome.kind === 'ready' && session.plans.has(planId)) {
        session.plans.set(planId, 'ready');
      }
      session.stream.write({ kind: 'planned', planId, outcome });
    }
  }

  private async sendHedge(session: ISession, planId: string): Promise<void> {
    const endpoint = await this.deps.coordinator.hedge(planId);
    if (this.sessions.has(session)) {
      session.stream.write({ kind: 'hedged', planId, ...(endpoint && { endpoint }) });
    }
  }

  /** Refuses a plan that the coordinator could not make because of an unexpected error. */
  private refuseFailed(planId: string, err: Error): types.PlanOutcome {
    this.deps.logService.error('plan-failed', { plan: planId, reason: err.stack });
    this.deps.coordinator.cancel(planId);
    return { kind: 'refused', reason: 'stage-failed', retryAfter: FAILED_PLAN_RETRY_MS };
  }

  private refreshRole(): void {
    const { log, clock } = this.deps;
    const { role, leaderId, id } = log.status();
    if (role === 'leader') {
      this.isCoordinating = true;
    } else if (leaderId !== undefined && leaderId !== id && this.isCoordinating) {
      this.isCoordinating = false;
      this.deps.logService.info('coordination-ended', { leader: leaderId });
      this.deps.coordinator.abandonAll();
      this.deps.directory.replace({ revision: 0, endpoints: [] });
    }
    if (leaderId !== undefined) {
      this.leaderSeenAt = clock.monotonic();
    }
  }

  /** Whether this control VM can plan requests: it coordinates and has an endpoint list. */
  private get canPlan(): boolean {
    return this.isCoordinating && this.deps.directory.current.revision > 0;
  }

  /** Whether this control VM coordinates and has no endpoint list yet. */
  private get lacksList(): boolean {
    return this.isCoordinating && !this.canPlan;
  }

  /** Whether to ask the VM of a session for its endpoint list now; counts the request. */
  private takeListRequest({ vm, held }: ISession): boolean {
    const mayHoldList = vm !== '' && held?.get('endpoints') !== '';
    return this.lacksList && mayHoldList && this.listRequests.take();
  }

  /** Asks some VMs, drawn at random, for their endpoint list while this coordinator has none. */
  private askForEndpoints(): void {
    const { random } = this.deps;
    const sessions = this.lacksList ? [...this.sessions] : [];
    sessions
      .map((session) => ({ session, order: random.next() }))
      .sort((a, b) => a.order - b.order)
      .filter(({ session }) => this.takeListRequest(session))
      .forEach(({ session }) => session.stream.write(this.buildState(true)));
  }

  private buildState(wantsEndpoints = false): types.DownMessage & { readonly kind: 'state' } {
    const { term, leaderId, members, role, isStateCurrent } = this.deps.log.status();
    const newestDocument = isStateCurrent ? this.deps.document.current?.version : undefined;
    const leader = members.find((member) => member.id === leaderId)?.address;
    return {
      kind: 'state',
      leads: this.canPlan,
      confirmed: role === 'leader',
      wantsEndpoints,
      term,
      ...(leader === undefined ? {} : { leader }),
      members: members.map((member) => member.address),
      entries: Math.max(this.entryCount, this.recentEntryCount.value),
      ...(newestDocument === undefined ? {} : { newestDocument }),
    };
  }

  private broadcastState(): void {
    this.refreshRole();
    this.recentEntryCount.record(this.entryCount);
    this.sendState();
    this.askForEndpoints();
    this.broadcastDocument();
  }

  private handleDocument({ version, text }: documentState.IDocument): void {
    if (this.isCoordinating) {
      const fields = { version, characters: text.length, sessions: this.sessions.size };
      this.deps.logService.info('config-broadcast', fields);
    }
    this.broadcastDocument();
  }

  private broadcastDocument(): void {
    this.greetedSessions.forEach((session) => this.sendDocumentTo(session));
  }

  /**
   * Sends the zones out of service, and then the configuration, when they are newer than those of the session's VM. A VM
   * without a configuration, which would serve by any that it gets, gets it only from a leader that is known to hold the
   * newest, or from a control VM that has known no leader for `LEADERLESS_TIMEOUT_MS`.
   */
  private sendDocumentTo(session: ISession): void {
    const { document, clock, log } = this.deps;
    const configuration = document.current;
    const isLeaderless = clock.monotonic() - this.leaderSeenAt > LEADERLESS_TIMEOUT_MS;
    const mayServe = session.hasConfiguration || log.status().isStateCurrent || isLeaderless;
    this.sendZonesTo(session);
    if (configuration !== undefined && configuration.version > session.version && mayServe) {
      Object.assign(session, { version: configuration.version });
      this.feeds.sendDocument(session, configuration.version, configuration.text);
    }
  }

  /** Sends a new endpoint list; the directory also tells of zones that were closed, which leave the list as it is. */
  private handleEndpoints(list: routing.IEndpointList): void {
    if (list !== this.sentList) {
      this.sentList = list;
      this.greetedSessions.forEach((session) => this.sendEndpointsTo(session));
    }
  }

  private sendZonesTo(session: ISession): void {
    const closed = this.deps.zones?.current;
    if (closed !== undefined && closed.revision > session.zonesRevision) {
      Object.assign(session, { zonesRevision: closed.revision });
      session.stream.write({ kind: 'zones', closed });
    }
  }

  private sendEndpointsTo(session: ISession): void {
    if (this.canPlan) {
      this.feeds.sendEndpoints(session, this.deps.directory.current);
    }
  }

  /** Sends the whole text of a topic to an entry VM that could not apply an update. */
  private resend(session: ISession, topic: types.FeedTopic): void {
    session.held?.delete(topic);
    if (topic === 'document') {
      Object.assign(session, { version: 0 });
      this.sendDocumentTo(session);
    } else {
      this.sendEndpointsTo(session);
    }
  }

  /** Sends the state to all entry VMs; to those that stand by only from time to time, or if another VM leads. */
  private sendState(): void {
    const state = this.buildState();
    const { leads, confirmed, term, leader } = state;
    const summary = [leads, confirmed, term, leader].join(' ');
    const now = this.deps.clock.monotonic();
    const { summary: sent, sentAt } = this.standbyState;
    const isStandbyDue = summary !== sent || now - sentAt >= STANDBY_STATE_INTERVAL_MS;
    if (isStandbyDue) {
      this.standbyState = { summary, sentAt: now };
    }
    this.sendTo(isStandbyDue ? [...this.sessions] : this.greetedSessions, state);
  }

  private broadcast(message: types.DownMessage): void {
    this.sendTo(this.greetedSessions, message);
  }

  /** Encodes a message once and sends it to all `sessions`. */
  private sendTo(sessions: readonly ISession[], message: types.DownMessage): void {
    const { kind } = message;
    const bytes = feedCodec.encode(message);
    this.traffic.recordEncoded(kind);
    sessions.forEach(({ stream }) => stream.writeEncoded(kind, bytes));
  }

  private handleLeadership(leads: boolean): void {
    if (!leads) {
      const { queuedBytes } = this.traffic;
      const recentBytes = this.traffic.recentBytes.map(([kind, bytes]) => `${kind}=${bytes}`);
      const fields = {
        sessions: this.sessions.size,
        queuedBytes,
        waitingMessages: this.inbox.length,
        recentBytes: recentBytes.join(' '),
      };
      this.deps.logService.warn('feed-load', fields);
    }
    this.broadcastState();
  }
}

function maxPlanWait(plan: types.IPlanRequest): commonTypes.Millis {
  const { priority, goalLeft } = plan;
  const last = MAX_PLAN_WAITS_MS.length - 1;
  const limit = MAX_PLAN_WAITS_MS[Math.min(priority, last)] as commonTypes.Millis;
  const ratio = planShape.isChain(plan) ? 1 : SINGLE_STAGE_WAIT_RATIO;
  return Math.min(limit, goalLeft * MAX_PLAN_WAIT_GOAL_RATIO) * ratio;
}

function failureOf(message: types.UpMessage & { readonly kind: 'again' }): types.EngineFailure {
  const { isHealthy = false, isNotRun = false } = message;
  const notRun = isHealthy ? 'limited' : 'not-run';
  return isHealthy || isNotRun ? notRun : 'broken';
}
