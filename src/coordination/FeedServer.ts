import type * as grpc from '@grpc/grpc-js';
import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as documentState from '../control/document/DocumentState.js';
import type * as controlTypes from '../control/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import type * as coordinator from './Coordinator.js';
import * as feedCodec from './FeedCodec.js';
import type * as types from './Types.js';

type Stream = grpc.ServerDuplexStream<types.UpMessage, types.DownMessage>;

/** Between two states sent to each entry VM. */
const STATE_INTERVAL_MS = 250;
/** A session that sent nothing for this long is closed. */
const SILENCE_MS = 3000;
/** Plans of a session that ended are kept for this long: its VM may go on with their results at a successor. */
const HANDOVER_MS = 1000;
/** Results that were made are told together. */
const MADE_INTERVAL_MS = 10;
/** A control VM without a leader tells the configuration that it has after this time. */
const ORPHAN_MS = 1500;

interface ISession {
  readonly stream: Stream;
  vm: string;
  version: number;
  heard: commonTypes.Millis;
  readonly plans: Set<string>;
  /** Results that the VM was not told of yet. */
  made: types.IPlanResult[];
}

/** What the feed serves. */
export interface IFeedServerDependencies {
  readonly log: controlTypes.IReplicatedLog;
  readonly document: documentState.DocumentState;
  readonly directory: endpointDirectory.EndpointDirectory;
  readonly coordinator: coordinator.Coordinator;
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
}

/** Serves entry VMs: configuration, endpoints, and plans when this control VM coordinates. */
export class FeedServer implements commonTypes.IDisposable {
  private readonly sessions = new Set<ISession>();

  private readonly subscriptions: commonTypes.IDisposable[] = [];

  private readonly stop = new AbortController();

  private coordinates = false;

  private leaderHeard: commonTypes.Millis;

  /** Registers the feed at `server`. */
  constructor(
    server: grpc.Server,
    private readonly parts: IFeedServerDependencies,
  ) {
    this.leaderHeard = parts.clock.monotonic();
    server.addService(feedCodec.FEED_SERVICE, { open: (stream: Stream) => this.open(stream) });
    this.subscriptions.push(
      parts.document.onChange(() => this.sendDocument()),
      parts.directory.onChange((list) => this.sendEndpoints(list)),
      parts.log.onLeadership(() => this.sendState()),
    );
    void this.run();
  }

  /** Whether requests are planned here: this VM leads, or led last and knows no newer leader. */
  get isCoordinator(): boolean {
    return this.coordinates;
  }

  /** Entry VMs that are connected. */
  get entryCount(): number {
    return this.sessions.size;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('feed closed'));
    this.subscriptions.forEach((subscription) => subscription.dispose());
    this.sessions.forEach((session) => session.stream.end());
  }

  private async run(): Promise<void> {
    const { clock } = this.parts;
    while (!this.stop.signal.aborted) {
      this.sendState();
      this.closeSilent();
      await clock.sleep(STATE_INTERVAL_MS, this.stop.signal).catch(() => {});
    }
  }

  private open(stream: Stream): void {
    const now = this.parts.clock.monotonic();
    const plans = new Set<string>();
    const session: ISession = { stream, vm: '', version: 0, heard: now, plans, made: [] };
    this.sessions.add(session);
    stream.on('data', (message: types.UpMessage) => this.take(session, message));
    stream.on('error', (err: Error) => this.close(session, err.message));
    stream.on('end', () => this.close(session, 'ended'));
    stream.on('cancelled', () => this.close(session, 'cancelled'));
  }

  private close(session: ISession, reason: string): void {
    if (!this.sessions.delete(session)) {
      return;
    }
    this.parts.logService.info('feed-closed', { vm: session.vm, reason });
    session.stream.end();
    this.endPlans(session);
    this.parts.clock.setTimer(HANDOVER_MS, () => {
      this.endPlans(session);
      session.plans.forEach((id) => this.parts.coordinator.cancel(id));
    });
  }

  /** Without a quorum there may be a successor, which goes on with the plans and their results. */
  private endPlans(session: ISession): void {
    const { log, coordinator: planner } = this.parts;
    if (log.status().role !== 'leader') {
      session.plans.forEach((id) => planner.abandon(id));
    }
  }

  private closeSilent(): void {
    const now = this.parts.clock.monotonic();
    [...this.sessions]
      .filter((session) => now - session.heard > SILENCE_MS)
      .forEach((session) => this.close(session, 'silent'));
  }

  private take(session: ISession, message: types.UpMessage): void {
    Object.assign(session, { heard: this.parts.clock.monotonic() });
    const { coordinator: planner } = this.parts;
    switch (message.kind) {
      case 'hello':
        this.greet(session, message.vm, message.version);
        break;
      case 'probe':
        this.sessions.delete(session);
        this.refreshRole();
        session.stream.write(this.state());
        session.stream.end();
        break;
      case 'plan':
        session.plans.add(message.plan.planId);
        this.plan(session, message.plan);
        break;
      case 'spare':
        planner.freeResults(message.records);
        break;
      case 'endpoints':
        this.takeEndpoints(session, message.list);
        break;
      case 'again':
        void this.answer(session, message.planId, planner.reassign(message.planId, message.failed));
        break;
      case 'cancel':
        session.plans.delete(message.planId);
        planner.cancel(message.planId);
        break;
      case 'started':
        planner.markStarted(message.planId);
        break;
      case 'ended':
        session.plans.delete(message.planId);
        planner.markEnded(message.planId, message.failed);
        break;
      default:
    }
  }

  private greet(session: ISession, vm: string, version: number): void {
    Object.assign(session, { vm, version });
    this.refreshRole();
    this.parts.logService.info('feed-opened', { vm, version, leads: this.coordinates });
    session.stream.write(this.state());
    this.sendTo(session);
    const list = this.parts.directory.current;
    if (this.leads) {
      session.stream.write({ kind: 'endpoints', list });
    }
  }

  private plan(session: ISession, plan: types.IPlanRequest): void {
    const { planId } = plan;
    const onMade = (record: batching.IResultRecord): void =>
      this.noteMade(session, { planId, record });
    void this.answer(session, planId, this.parts.coordinator.plan(plan, onMade));
  }

  private noteMade(session: ISession, made: types.IPlanResult): void {
    session.made.push(made);
    if (session.made.length === 1) {
      this.parts.clock.setTimer(MADE_INTERVAL_MS, () => {
        const told = session.made;
        Object.assign(session, { made: [] });
        if (this.sessions.has(session)) {
          session.stream.write({ kind: 'made', made: told });
        }
      });
    }
  }

  /** Takes what a VM knows until the list is read here. */
  private takeEndpoints(session: ISession, list: routing.IEndpointList): void {
    const { directory, logService } = this.parts;
    if (this.coordinates && directory.current.revision === 0 && list.revision > 0) {
      const { revision, endpoints } = list;
      const fields = { vm: session.vm, revision, endpoints: endpoints.length };
      logService.info('endpoints-taken-over', fields);
      directory.replace(list);
      this.broadcast(this.state());
    }
  }

  private async answer(
    session: ISession,
    planId: string,
    pending: Promise<types.PlanOutcome>,
  ): Promise<void> {
    const outcome = await pending;
    if (outcome.kind === 'refused') {
      session.plans.delete(planId);
    }
    if (this.sessions.has(session)) {
      session.stream.write({ kind: 'planned', planId, outcome });
    }
  }

  private refreshRole(): void {
    const { log, clock } = this.parts;
    const { role, leaderId, id } = log.status();
    if (role === 'leader') {
      this.coordinates = true;
    } else if (leaderId !== undefined && leaderId !== id && this.coordinates) {
      this.coordinates = false;
      this.parts.logService.info('coordination-ended', { leader: leaderId });
      this.parts.coordinator.abandonAll();
      this.parts.directory.replace({ revision: 0, endpoints: [] });
    }
    if (leaderId !== undefined) {
      this.leaderHeard = clock.monotonic();
    }
  }

  /** Whether requests can be planned here. */
  private get leads(): boolean {
    return this.coordinates && this.parts.directory.current.revision > 0;
  }

  private state(): types.DownMessage {
    const { term, leaderId, members, role } = this.parts.log.status();
    const leader = members.find((member) => member.id === leaderId)?.address;
    return {
      kind: 'state',
      leads: this.leads,
      confirmed: role === 'leader',
      wantsEndpoints: this.coordinates && !this.leads,
      term,
      ...(leader === undefined ? {} : { leader }),
      members: members.map((member) => member.address),
      entries: this.sessions.size,
    };
  }

  private sendState(): void {
    this.refreshRole();
    this.broadcast(this.state());
    this.sendDocument();
  }

  private sendDocument(): void {
    this.sessions.forEach((session) => this.sendTo(session));
  }

  /** Sends the configuration when it is newer and this VM may speak for the group. */
  private sendTo(session: ISession): void {
    const { document, clock } = this.parts;
    const held = document.current;
    const orphaned = clock.monotonic() - this.leaderHeard > ORPHAN_MS;
    if (held !== undefined && held.version > session.version && (this.coordinates || orphaned)) {
      Object.assign(session, { version: held.version });
      session.stream.write({ kind: 'document', version: held.version, text: held.text });
    }
  }

  private sendEndpoints(list: routing.IEndpointList): void {
    if (this.leads) {
      this.broadcast({ kind: 'endpoints', list });
    }
  }

  private broadcast(message: types.DownMessage): void {
    this.sessions.forEach((session) => session.stream.write(message));
  }
}
