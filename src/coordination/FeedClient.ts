import * as emitter from '../common/Emitter.js';
import * as recentMaximum from '../common/RecentMaximum.js';
import * as retryPacing from '../common/RetryPacing.js';
import type * as blame from '../blame/Types.js';
import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as rooms from '../room/Types.js';
import type * as routing from '../routing/Types.js';
import type * as zoneTypes from '../zones/Types.js';
import * as feedConnection from './FeedConnection.js';
import * as hedgeRequests from './HedgeRequests.js';
import * as heldResults from './HeldResults.js';
import * as leaderHints from './LeaderHints.js';
import * as leaderSearch from './LeaderSearch.js';
import * as newestConfiguration from './NewestConfiguration.js';
import * as standbyConnections from './StandbyConnections.js';
import type * as streamVersions from './StreamVersions.js';
import type * as types from './Types.js';
import * as updateReceiver from './UpdateReceiver.js';

/**
 * A connection without a message for this long is closed. Longer than a search for a successor takes, because an
 * overloaded coordinator has more to do for each VM that connects again.
 */
const SILENCE_TIMEOUT_MS = 1500;
/**
 * A coordinator that has been silent for this long may have a successor: one state interval plus the duration of an
 * election.
 */
const SUSPECT_AFTER_MS = 450;
/** Timeout of the first message on a new connection; doubles with each control VM that does not answer in turn. */
const FIRST_MESSAGE_TIMEOUT_MS = 700;
const MAX_FIRST_MESSAGE_TIMEOUT_MS = 2800;
/**
 * The same for a leader that other control VMs name: it is up, but may be too busy to accept all entry VMs at once, and a
 * new connection would wait behind all others. One that was open already waits for MAX_FIRST_MESSAGE_TIMEOUT_MS only: it
 * may have gone silent, and a configuration is in force within 5 s of its acknowledgement.
 */
const NAMED_LEADER_TIMEOUT_MS = 6000;
/** Interval between checks of an open connection. */
const CHECK_INTERVAL_MS = 100;
/** Intervals between connections to control VMs until one of them coordinates. */
const CONNECTION_INTERVALS: retryPacing.IRetryIntervals = { first: 100, longest: 2000 };
/** Intervals between searches for a successor of a coordinator. */
const SEARCH_INTERVALS: retryPacing.IRetryIntervals = { first: 250, longest: 2000 };
/**
 * Processor time that a control VM needs to accept an entry VM. All entry VMs find a new coordinator at the same time,
 * and each waits for a random part of what all of them take.
 */
const ACCEPT_MS = 2;
/** Longest pause, beside that, before a connection to a leader that was named. */
const MAX_NAMED_DELAY_MS = 200;
/** Interval of the keepalive messages to the coordinator. */
const KEEPALIVE_INTERVAL_MS = 1000;
/** A VM whose control VM names no leader asks others too from this time on. */
const LEADERLESS_SEARCH_MS = 500;
/** A connection to a control VM that names no leader is closed after this time, and the next address is tried. */
const LEADERLESS_TIMEOUT_MS = 2500;
/** Time for which the highest count of entry VMs holds; a new coordinator counts few until all have found it. */
const ENTRY_COUNT_WINDOW_MS = 10_000;

/** Components and callbacks that a feed client uses. */
export interface IFeedClientDependencies extends leaderSearch.ILeaderSearchDependencies {
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  /** Returns the endpoint list of this VM, for a coordinator that has none yet; revision 0 means no list. */
  readonly endpoints: () => routing.IEndpointList;
  /** Address (`ip:port`) at which this VM connects other VMs to endpoints; undefined if it does not. */
  readonly relayAddress?: string;
}

interface IPendingPlan {
  readonly resolve: (outcome: types.PlanOutcome) => void;
}

/** Outcome of a plan without a coordinator: it was lost, or none is connected. The request has not run. */
const LOST_OUTCOME: types.PlanOutcome = { kind: 'refused', reason: 'lost', retryAfter: 100 };

/**
 * Keeps one connection to the control VM that coordinates, and searches for its successor when the connection is lost.
 */
export class FeedClient
  implements
    types.IPlanner,
    rateLimits.ICoordinatorLink,
    rooms.IRoomLink,
    blame.IBlameLink,
    commonTypes.IDisposable
{
  private readonly stopController = new AbortController();

  private readonly pending = new Map<string, IPendingPlan>();

  private readonly hedgeRequests = new hedgeRequests.HedgeRequests();

  private readonly hints: leaderHints.LeaderHints;

  private connection: feedConnection.FeedConnection | undefined;

  private readonly search: leaderSearch.LeaderSearch;

  private readonly standbys: standbyConnections.StandbyConnections;

  /** Address of the control VM of the current connection. */
  private currentAddress: string | undefined;

  private hasCoordinator = false;

  private isCoordinatorConfirmed = false;

  private isSearching = false;

  private readonly reportedEntryCount: recentMaximum.RecentMaximum;

  private readonly connectionPacing: retryPacing.RetryPacing;

  private readonly searchPacing: retryPacing.RetryPacing;

  /** Control VMs in turn that did not answer. */
  private silentConnections = 0;

  private readonly newestConfiguration: newestConfiguration.NewestConfiguration;

  private readonly documentEmitter = new emitter.Emitter<{ version: number; text: string }>();

  private readonly endpointsEmitter = new emitter.Emitter<routing.IEndpointList>();

  private readonly zonesEmitter = new emitter.Emitter<zoneTypes.IClosedZones>();

  private readonly relaysEmitter = new emitter.Emitter<readonly string[]>();

  private readonly coordinatorFoundEmitter = new emitter.Emitter<void>();

  private readonly coordinatorLostEmitter = new emitter.Emitter<void>();

  private readonly permitEmitter = new emitter.Emitter<rateLimits.IPermitAnswer>();

  private readonly rateLimitsEmitter = new emitter.Emitter<
    readonly rateLimits.IRateLimitObservation[]
  >();

  private readonly coldEmitter = new emitter.Emitter<readonly rateLimits.IColdStatement[]>();

  private readonly rejectionLimitsEmitter = new emitter.Emitter<
    readonly rateLimits.IRateLimitObservation[]
  >();

  private readonly roomEmitter = new emitter.Emitter<rooms.RoomAnswer>();

  private readonly blameEmitter = new emitter.Emitter<blame.IBlameNews>();

  private readonly trialEmitter = new emitter.Emitter<blame.ITrialAnswer>();

  /** @inheritdoc */
  readonly onBlame = this.blameEmitter.event;

  /** @inheritdoc */
  readonly onTrial = this.trialEmitter.event;

  /** @inheritdoc */
  readonly onCoordinatorFound = this.coordinatorFoundEmitter.event;

  /** @inheritdoc */
  readonly onCoordinatorLost = this.coordinatorLostEmitter.event;

  /** @inheritdoc */
  readonly onPermit = this.permitEmitter.event;

  /** @inheritdoc */
  readonly onRateLimits = this.rateLimitsEmitter.event;

  /** @inheritdoc */
  readonly onCold = this.coldEmitter.event;

  /** @inheritdoc */
  readonly onRejectionLimits = this.rejectionLimitsEmitter.event;

  /** @inheritdoc */
  readonly onRoom = this.roomEmitter.event;

  /** Fires for each configuration that a control VM sends. */
  readonly onDocument = this.documentEmitter.event;

  /** Fires for each endpoint list that a control VM sends. */
  readonly onEndpoints = this.endpointsEmitter.event;

  /** Fires with each set of zones out of service that a control VM sends; it may be older than one sent before. */
  readonly onZones = this.zonesEmitter.event;

  /** Fires with the addresses of entry VMs that connect this one to endpoints. */
  readonly onRelays = this.relaysEmitter.event;

  /** Configuration version in force on this VM; sent to each control VM when a connection opens. */
  version = 0;

  private disconnectedAt: commonTypes.Millis;

  private readonly held: heldResults.HeldResults;

  /** Number of the current connection; the coordinator has no plans of earlier connections. */
  private sessionNumber = 0;

  private readonly updates: updateReceiver.UpdateReceiver;

  /** Results that a coordinator is to free once one is connected. */
  private unusedResults: batching.IResultRecord[] = [];

  /** Creates a client that connects when `start` is called; the first control VM is chosen at random. */
  constructor(private readonly deps: IFeedClientDependencies) {
    const { clock, random } = deps;
    this.disconnectedAt = clock.monotonic();
    this.held = new heldResults.HeldResults(clock);
    this.reportedEntryCount = new recentMaximum.RecentMaximum(clock, ENTRY_COUNT_WINDOW_MS);
    this.hints = new leaderHints.LeaderHints(clock);
    this.newestConfiguration = new newestConfiguration.NewestConfiguration(clock);
    this.connectionPacing = new retryPacing.RetryPacing(clock, random, CONNECTION_INTERVALS);
    this.searchPacing = new retryPacing.RetryPacing(clock, random, SEARCH_INTERVALS);
    this.search = new leaderSearch.LeaderSearch(deps);
    this.standbys = new standbyConnections.StandbyConnections({
      ...deps,
      members: () => this.search.members,
      spread: () => this.entryCount * ACCEPT_MS,
      onState: (state, address) => this.handleStandbyState(state, address),
    });
    this.updates = new updateReceiver.UpdateReceiver(deps.logService, (topic) =>
      this.connection?.write({ kind: 'resend', topic }),
    );
  }

  /** Connects, and reconnects after each loss, until `dispose` is called. */
  start(): void {
    void this.run();
    void this.runStandbys();
  }

  /** Whether the connected control VM plans requests. */
  get isConnected(): boolean {
    return this.hasCoordinator;
  }

  /** Time since the coordinator was lost, or since the client was created; 0 while one is connected. */
  get disconnectedFor(): commonTypes.Millis {
    return this.hasCoordinator ? 0 : this.deps.clock.monotonic() - this.disconnectedAt;
  }

  /** Number of entry VMs, as control VMs reported it lately; at least 1. */
  get entryCount(): number {
    return Math.max(1, this.reportedEntryCount.value);
  }

  /**
   * Whether a leader with a quorum has lately said that no version of the configuration newer than `version` is in
   * force.
   */
  isConfigurationCurrent(version: number): boolean {
    return this.newestConfiguration.isCurrent(version);
  }

  /** @inheritdoc */
  plan(req: types.IPlanRequest): Promise<types.PlanOutcome> {
    this.held.track(req.planId, this.sessionNumber, req.held);
    return this.requestPlan(req.planId, { kind: 'plan', plan: req });
  }

  /** Results that the coordinator has produced for a plan of this VM, without those that expire soon. */
  resultsOf(planId: string): readonly batching.IResultRecord[] {
    return this.held.resultsOf(planId);
  }

  /** Stops tracking the results of a plan, because another plan continues with them. */
  forget(planId: string): void {
    this.held.forget(planId);
  }

  /** @inheritdoc */
  reassign(
    planId: string,
    failed: string,
    failure: types.EngineFailure,
  ): Promise<types.PlanOutcome> {
    const isHealthy = failure === 'limited';
    const isNotRun = failure !== 'broken';
    return this.requestPlan(planId, { kind: 'again', planId, failed, isHealthy, isNotRun });
  }

  /** @inheritdoc */
  requestPermit(permitId: number, endpointId: string): void {
    this.send({ kind: 'permit', permitId, endpointId });
  }

  /** @inheritdoc */
  sendRateLimits(observations: readonly rateLimits.IRateLimitObservation[]): void {
    if (observations.length > 0) {
      this.send({ kind: 'limits', observations });
    }
  }

  /** @inheritdoc */
  sendCold(statements: readonly rateLimits.IColdStatement[]): void {
    if (statements.length > 0) {
      this.send({ kind: 'cold', statements });
    }
  }

  /** @inheritdoc */
  sendRejectionLimits(observations: readonly rateLimits.IRateLimitObservation[]): void {
    if (observations.length > 0) {
      this.send({ kind: 'rejection-limits', observations });
    }
  }

  /** @inheritdoc */
  requestRoom(request: rooms.IRoomRequest): void {
    this.send({ kind: 'room', request });
  }

  /** @inheritdoc */
  releaseRoom(roomId: string, outcome: rooms.RoomOutcome): void {
    this.send({ kind: 'room-end', roomId, outcome });
  }

  /** @inheritdoc */
  sendRooms(used: readonly rooms.IRoomUse[]): void {
    if (used.length > 0) {
      this.send({ kind: 'rooms', rooms: used });
    }
  }

  /** @inheritdoc */
  sendBlame(news: blame.IBlameNews): void {
    if (news.crashes.length + news.proofs.length > 0) {
      this.send({ kind: 'blame', news });
    }
  }

  /** Sends the streams that this VM has begun lately; has no effect while no coordinator is connected. */
  sendStreams(streams: readonly streamVersions.IStreamRecord[]): void {
    if (streams.length > 0) {
      this.send({ kind: 'streams', streams });
    }
  }

  /** @inheritdoc */
  requestTrial(trialId: number, traits: blame.IRequestTraits): void {
    this.send({ kind: 'trial', trialId, traits });
  }

  /** @inheritdoc */
  hedge(planId: string): Promise<routing.IEndpoint | undefined> {
    if (!this.hasCoordinator) {
      return Promise.resolve(undefined);
    }
    const answered = this.hedgeRequests.add(planId);
    this.send({ kind: 'hedge', planId });
    return answered;
  }

  /** @inheritdoc */
  settleHedge(planId: string, end: types.IHedgeEnd): void {
    this.hedgeRequests.resolve(planId, undefined);
    this.send({ kind: 'hedge-end', planId, end });
  }

  /** @inheritdoc */
  cancel(planId: string): void {
    this.hedgeRequests.resolve(planId, undefined);
    this.pending.delete(planId);
    this.finishPlan(planId, { kind: 'cancel', planId });
  }

  /** @inheritdoc */
  markStarted(planId: string, isSuccess: boolean, slowdown?: number): void {
    const error = isSuccess ? {} : { isError: true };
    const reported = slowdown === undefined ? {} : { slowdown };
    this.finishPlan(planId, { kind: 'started', planId, ...error, ...reported });
  }

  /** @inheritdoc */
  markEnded(planId: string, failed?: string, eventGap?: commonTypes.Millis): void {
    const failure = failed === undefined ? {} : { failed };
    const measured = eventGap === undefined ? {} : { eventGap };
    this.finishPlan(planId, { kind: 'ended', planId, ...failure, ...measured });
  }

  /** @inheritdoc */
  dispose(): void {
    this.stopController.abort(new Error('feed client disposed'));
    this.connection?.dispose();
    this.standbys.dispose();
  }

  /**
   * Ends a plan whose results have been used or are not needed. The coordinator of the current connection
   * gets `message`; results of an earlier connection's plan are sent to be freed instead.
   */
  private finishPlan(planId: string, message: types.UpMessage): void {
    const records = this.held.resultsOf(planId);
    if (records.length === 0 || this.held.belongsTo(planId, this.sessionNumber)) {
      this.send(message);
    } else {
      this.unusedResults.push(...records);
      this.sendUnusedResults();
    }
    this.held.forget(planId);
  }

  private sendUnusedResults(): void {
    const records = this.unusedResults;
    if (this.hasCoordinator && records.length > 0) {
      this.unusedResults = [];
      this.send({ kind: 'spare', records });
    }
  }

  private requestPlan(planId: string, message: types.UpMessage): Promise<types.PlanOutcome> {
    if (!this.hasCoordinator) {
      return Promise.resolve(LOST_OUTCOME);
    }
    return new Promise((resolve) => {
      this.pending.set(planId, { resolve });
      this.send(message);
    });
  }

  private send(message: types.UpMessage): void {
    if (this.hasCoordinator) {
      this.connection?.write(message);
    }
  }

  private async run(): Promise<void> {
    const { signal } = this.stopController;
    let previous: string | undefined;
    while (!signal.aborted) {
      const named = this.hints.take();
      const address = named ?? this.search.nextAddress(previous);
      if (address !== undefined) {
        this.connectionPacing.recordAttempt();
        await this.runSession(address, named !== undefined);
        previous = address;
      }
      await this.pause();
    }
  }

  private async runStandbys(): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      this.standbys.update(this.currentAddress);
      await this.deps.clock.sleep(CHECK_INTERVAL_MS, signal).catch(() => {});
    }
  }

  /** Waits until the next connection is due. */
  private async pause(): Promise<void> {
    const { clock, random } = this.deps;
    const { signal } = this.stopController;
    const startedAt = clock.monotonic();
    const acceptDelay = random.next() * this.entryCount * ACCEPT_MS;
    const left = (): commonTypes.Millis =>
      this.delayUntilNext(acceptDelay, clock.monotonic() - startedAt);
    for (let delay = left(); delay > 0 && !signal.aborted; delay = left()) {
      await clock.sleep(Math.min(delay, CHECK_INTERVAL_MS), signal).catch(() => {});
    }
  }

  /**
   * Time until the next connection, `waited` after the last one. A leader that was named is used at once over a connection
   * that is open; a new one waits for `acceptDelay`, a random part of the time that the leader takes to accept all entry
   * VMs, which find it at the same time.
   */
  private delayUntilNext(
    acceptDelay: commonTypes.Millis,
    waited: commonTypes.Millis,
  ): commonTypes.Millis {
    const { delay } = this.connectionPacing;
    const { address } = this.hints;
    if (address === undefined) {
      return Math.max(CHECK_INTERVAL_MS - waited, delay);
    }
    return this.standbys.has(address)
      ? 0
      : Math.max(acceptDelay - waited, Math.min(delay, MAX_NAMED_DELAY_MS - waited));
  }

  /** Runs one connection until it ends, then fails the plans that wait for an outcome. */
  private async runSession(address: string, isNamed: boolean): Promise<void> {
    const { clock, vm, relayAddress } = this.deps;
    const onMessage = (message: types.DownMessage): void => this.handleMessage(message, address);
    const standby = this.standbys.take(address);
    standby?.listen(onMessage);
    const connection = standby ?? new feedConnection.FeedConnection(address, clock, onMessage);
    const startedAt = clock.monotonic();
    this.connection = connection;
    this.currentAddress = address;
    this.sessionNumber += 1;
    const relay = relayAddress === undefined ? {} : { relay: relayAddress };
    connection.write({
      kind: 'hello',
      vm,
      version: this.version,
      entries: this.entryCount,
      held: this.updates.digests,
      ...relay,
    });
    let lastKeepaliveAt = clock.monotonic();
    while (connection.endReason === undefined && !this.stopController.signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, this.stopController.signal).catch(() => {});
      const age = clock.monotonic() - startedAt;
      this.checkConnection(connection, { isNamed, wasOpen: standby !== undefined, age });
      if (this.hasCoordinator && clock.monotonic() - lastKeepaliveAt > KEEPALIVE_INTERVAL_MS) {
        lastKeepaliveAt = clock.monotonic();
        connection.write({ kind: 'alive' });
      }
    }
    this.handleDisconnect(connection);
    connection.dispose();
  }

  /**
   * Ends a connection that is silent or whose control VM is not the leader. Searches for the leader while none is known
   * or the coordinator is suspect.
   */
  private checkConnection(
    connection: feedConnection.FeedConnection,
    session: {
      readonly isNamed: boolean;
      /** Whether the connection stood by before. */
      readonly wasOpen: boolean;
      readonly age: commonTypes.Millis;
    },
  ): void {
    const { isNamed, wasOpen, age } = session;
    const { address, idleDuration } = connection;
    const hasReason = !this.hasCoordinator || this.isCoordinatorSuspect;
    const hasAnswered = connection.hasReceived && idleDuration < age;
    const timeout = hasAnswered ? SILENCE_TIMEOUT_MS : this.firstMessageTimeout(isNamed, wasOpen);
    if (Math.min(idleDuration, age) > timeout) {
      connection.end('silent');
    } else if (hasReason && (this.hints.address ?? address) !== address) {
      connection.end('not-the-leader');
    } else if (!this.hasCoordinator && hasAnswered && age > LEADERLESS_TIMEOUT_MS) {
      connection.end('no-leader');
    }
    if (hasReason && (this.hasCoordinator || age > LEADERLESS_SEARCH_MS)) {
      void this.searchLeader(address);
    }
  }

  private firstMessageTimeout(isNamed: boolean, wasOpen: boolean): commonTypes.Millis {
    if (isNamed && this.standbys.isInTouch) {
      return wasOpen ? MAX_FIRST_MESSAGE_TIMEOUT_MS : NAMED_LEADER_TIMEOUT_MS;
    }
    const timeout = FIRST_MESSAGE_TIMEOUT_MS * 2 ** this.silentConnections;
    return Math.min(MAX_FIRST_MESSAGE_TIMEOUT_MS, timeout);
  }

  private handleDisconnect(connection: feedConnection.FeedConnection): void {
    const { clock, logService, metrics } = this.deps;
    const { address, endReason, hasReceived } = connection;
    const isSilent = endReason === 'silent';
    if (!hasReceived && isSilent) {
      this.silentConnections += 1;
    }
    if (endReason === 'no-leader') {
      this.hints.forgetTerm();
    }
    if (!hasReceived || isSilent) {
      this.hints.recordUnreachable(address);
    } else if (this.hasCoordinator && this.hints.address === undefined) {
      this.hints.record({ address, term: this.hints.term });
    }
    if (this.hasCoordinator) {
      logService.warn('coordinator-lost', { address, reason: endReason, plans: this.pending.size });
      metrics.count('coordinator_lost');
      this.disconnectedAt = clock.monotonic();
    } else {
      const age = Math.round(connection.age);
      logService.info('feed-left', { address, reason: endReason, age, hasReceived });
      metrics.count('feed_left', { answered: String(hasReceived) });
    }
    this.hasCoordinator = false;
    this.currentAddress = undefined;
    this.failPending();
  }

  /** Whether the coordinator lacks a quorum or has been silent for longer than `SUSPECT_AFTER_MS`. */
  private get isCoordinatorSuspect(): boolean {
    return !this.isCoordinatorConfirmed || (this.connection?.idleDuration ?? 0) > SUSPECT_AFTER_MS;
  }

  /** Asks other control VMs than the one at `current` for the leader, unless it was done a short time ago or one tells it. */
  private async searchLeader(current: string): Promise<void> {
    if (this.isSearching || !this.searchPacing.isDue || this.standbys.isInTouch) {
      return;
    }
    this.isSearching = true;
    this.searchPacing.recordAttempt();
    this.deps.metrics.count('leader_search');
    const found = await this.search.find(current, this.hints.term);
    this.isSearching = false;
    if (found !== undefined && (!this.hasCoordinator || this.isCoordinatorSuspect)) {
      this.hints.record(found);
    }
  }

  private handleStandbyState(
    state: types.DownMessage & { readonly kind: 'state' },
    address: string,
  ): void {
    this.search.updateMembers(state.members);
    this.reportedEntryCount.record(state.entries);
    if (!this.hasCoordinator || this.isCoordinatorSuspect) {
      this.hints.record(leaderSearch.leaderIn(state, address));
    }
  }

  private handleMessage(message: types.DownMessage, address: string): void {
    switch (message.kind) {
      case 'state':
        this.handleState(message, address);
        break;
      case 'update':
        this.handleUpdate(message);
        break;
      case 'document':
        this.updates.set('document', message.text);
        this.documentEmitter.fire(message);
        break;
      case 'endpoints':
        this.updates.set('endpoints', JSON.stringify(message.list.endpoints));
        this.endpointsEmitter.fire(message.list);
        break;
      case 'zones':
        this.zonesEmitter.fire(message.closed);
        break;
      case 'relays':
        this.relaysEmitter.fire(message.relays);
        break;
      case 'made':
        message.made.forEach(({ planId, record }) => this.held.add(planId, record));
        break;
      case 'limits':
        this.rateLimitsEmitter.fire(message.observations);
        break;
      case 'cold':
        this.coldEmitter.fire(message.statements);
        break;
      case 'rejection-limits':
        this.rejectionLimitsEmitter.fire(message.observations);
        break;
      case 'room':
        this.roomEmitter.fire(message.answer);
        break;
      case 'blame':
        this.blameEmitter.fire(message.news);
        break;
      case 'trial':
        this.trialEmitter.fire(message.answer);
        break;
      case 'permit':
        this.permitEmitter.fire(message.answer);
        break;
      case 'hedged':
        this.hedgeRequests.resolve(message.planId, message.endpoint);
        break;
      case 'planned':
        this.pending.get(message.planId)?.resolve(message.outcome);
        this.pending.delete(message.planId);
        break;
      default:
    }
  }

  private handleUpdate(update: types.IUpdate): void {
    const text = this.updates.apply(update);
    const { topic, version } = update;
    if (text === undefined) {
      return;
    }
    if (topic === 'document') {
      this.documentEmitter.fire({ version, text });
    } else {
      const endpoints = JSON.parse(text) as readonly routing.IEndpoint[];
      this.endpointsEmitter.fire({ revision: version, endpoints });
    }
  }

  private handleState(state: types.DownMessage & { kind: 'state' }, address: string): void {
    this.search.updateMembers(state.members);
    this.reportedEntryCount.record(state.entries);
    if (this.silentConnections > 0 && !this.standbys.isInTouch) {
      this.silentConnections = 0;
      this.standbys.retrySoon();
    }
    const isFound = state.leads && !this.hasCoordinator;
    if (isFound) {
      this.deps.logService.info('coordinator-found', { address, term: state.term });
    }
    if (this.hasCoordinator && !state.leads) {
      this.disconnectedAt = this.deps.clock.monotonic();
      this.failPending();
    }
    this.hasCoordinator = state.leads;
    this.isCoordinatorConfirmed = state.confirmed;
    if (state.leads && state.confirmed) {
      this.hints.recordCoordinator({ address, term: state.term });
      this.silentConnections = 0;
      this.connectionPacing.reset();
      this.searchPacing.reset();
    } else if (!state.leads) {
      this.hints.record(leaderSearch.leaderIn(state, address));
    }
    if (state.newestDocument !== undefined) {
      this.newestConfiguration.record(state.newestDocument);
    }
    if (isFound) {
      this.coordinatorFoundEmitter.fire();
    }
    if (state.wantsEndpoints && this.deps.endpoints().revision > 0) {
      this.connection?.write({ kind: 'endpoints', list: this.deps.endpoints() });
    }
    this.sendUnusedResults();
  }

  private failPending(): void {
    this.coordinatorLostEmitter.fire();
    this.hedgeRequests.dropAll();
    const pendingPlans = [...this.pending.values()];
    this.pending.clear();
    pendingPlans.forEach(({ resolve }) => resolve(LOST_OUTCOME));
  }
}
