import * as stageJob from '../batching/StageJob.js';
import * as stageScheduler from '../batching/StageScheduler.js';
import type * as endpointContention from '../batching/EndpointContention.js';
import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import * as enginePlacer from '../placing/EnginePlacer.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as hedging from '../hedging/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as rooms from '../room/Types.js';
import * as unboundedRoom from '../room/UnboundedRoom.js';
import type * as routing from '../routing/Types.js';
import * as admissionOutcomes from './AdmissionOutcomes.js';
import * as continuedStream from './ContinuedStream.js';
import * as placementQueue from './PlacementQueue.js';
import * as planAdmission from './PlanAdmission.js';
import * as planHedges from './PlanHedges.js';
import * as planVersions from './PlanVersions.js';
import * as planQuarantine from './PlanQuarantine.js';
import * as rankShares from './RankShares.js';
import * as resultReleaser from './ResultReleaser.js';
import * as streamVersions from './StreamVersions.js';
import type * as types from './Types.js';

/** Components that a coordinator uses. */
export interface ICoordinatorDependencies extends planQuarantine.IPlanQuarantineDependencies {
  readonly caller: batching.IStageCaller;
  readonly directory: endpointDirectory.EndpointDirectory;
  readonly rateLimiter: rateLimits.IEndpointRateLimiter;
  /** Room at brittle engines; absent if it is not bounded. */
  readonly rooms?: rooms.IRoomCheck;
  /** Contention for stage endpoints, of a VM that plans alone; absent if this coordinator plans for all VMs. */
  readonly contention?: endpointContention.EndpointContention;
  /** Rejections in a second that endpoints bear; absent if none names a limit. */
  readonly rejectionLimits?: rateLimitTable.RateLimitTable;
  /** Software versions that began the streams of requests; absent if nothing else records them. */
  readonly streams?: streamVersions.StreamVersions;
  /** Whether `directory` has all endpoints that other VMs may use by now; absent if it always has. */
  readonly isListCurrent?: () => boolean;
  /** Decides on second engines for late requests; absent if there are none. */
  readonly hedgePolicy?: hedging.IHedgePolicy | undefined;
}

interface IPlanState {
  readonly req: types.IPlanRequest;
  readonly job: stageJob.StageJob;
  readonly estimate: planAdmission.IWaitEstimate;
  readonly requestedAt: commonTypes.Millis;
  /** Removes the plan if no end is reported. */
  readonly retention: commonTypes.IDisposable;
  resolve: ((outcome: types.PlanOutcome) => void) | undefined;
  /** Results of the last stages, kept until the engine has read them; undefined before all stages are complete. */
  results: readonly batching.IHeldResult[] | undefined;
  avoid: readonly string[];
}

/** Results that expire within this time are not sent to another engine. */
const MIN_RESULT_LIFE_MS = 300;
/** A plan for which no end was reported is removed this long after its deadline. */
const PLAN_RETENTION_MS = 2000;
/** Time after which a caller may come back while all endpoints of a service are in zones out of service. */
const OUT_OF_SERVICE_RETRY_AFTER_MS = 1000;
/** Time after which a caller may take up a stream again whose version has no engine left; a crashed one may be back. */
const VERSION_RETRY_AFTER_MS = 1000;

/**
 * Plans the requests of all entry VMs together, so that a batch can hold items from several of them.
 * Holds soft state only: a successor starts empty, and the entry VMs send their plan requests again.
 */
export class Coordinator implements types.IPlanner, commonTypes.IDisposable {
  private readonly schedulers = new Map<string, stageScheduler.StageScheduler>();

  private readonly placers = new Map<string, enginePlacer.EnginePlacer>();

  private readonly plans = new Map<string, IPlanState>();

  /** Id of the latest plan of each request, by request id. */
  private readonly latestPlanIds = new Map<string, string>();

  private readonly versions: planVersions.PlanVersions;

  private readonly releaser: resultReleaser.ResultReleaser;

  private readonly placementQueue: placementQueue.PlacementQueue;

  private readonly outcomes: admissionOutcomes.AdmissionOutcomes;

  private readonly admission: planAdmission.PlanAdmission;

  private readonly quarantine: planQuarantine.PlanQuarantine;

  private readonly hedges: planHedges.PlanHedges | undefined;

  private routingTable: routing.IRoutingTable | undefined;

  private readonly subscription: commonTypes.IDisposable;

  private readonly rooms: rooms.IRoomCheck;

  /** Creates a coordinator that serves requests once `configure` has been called. */
  constructor(private readonly deps: ICoordinatorDependencies) {
    this.rooms = deps.rooms ?? new unboundedRoom.UnboundedRoom();
    this.versions = new planVersions.PlanVersions(
      deps.clock,
      deps.directory,
      (service) => this.placers.has(service),
      deps.streams ?? new streamVersions.StreamVersions(deps.clock),
      deps.isListCurrent ?? (() => true),
    );
    this.subscription = deps.directory.onChange(() => this.updateServices());
    this.releaser = new resultReleaser.ResultReleaser(deps, (service) =>
      this.schedulers.get(service)?.scheduleDispatch(0),
    );
    this.placementQueue = new placementQueue.PlacementQueue(deps.clock, (planId) =>
      this.retryPlacement(planId),
    );
    this.outcomes = new admissionOutcomes.AdmissionOutcomes(deps.clock);
    this.admission = new planAdmission.PlanAdmission({
      schedulerOf: (service) => this.schedulers.get(service),
      placerOf: (service) => this.placers.get(service),
      unplacedPlans: (service, priority) => this.countUnplaced(service, priority),
      outcomes: this.outcomes,
      shares: new rankShares.RankShares(deps.clock),
    });
    this.quarantine = new planQuarantine.PlanQuarantine(deps, () => this.refuseQuarantined());
    const { hedgePolicy: policy } = deps;
    this.hedges = policy && new planHedges.PlanHedges({ ...deps, policy });
  }

  /** Software versions that began the streams of requests. */
  get streams(): streamVersions.StreamVersions {
    return this.versions.streams;
  }

  /** Applies a version of the configuration. */
  configure(table: routing.IRoutingTable): void {
    this.routingTable = table;
    this.updateServices();
  }

  /** Number of plans that are queued or running. */
  get planCount(): number {
    return this.plans.size;
  }

  /** Whether a plan is queued or running. */
  hasPlan(planId: string): boolean {
    return this.plans.has(planId);
  }

  /** @inheritdoc */
  plan(
    planned: types.IPlanRequest,
    onResult: types.ResultListener = () => {},
  ): Promise<types.PlanOutcome> {
    const req = continuedStream.prioritizeContinued(planned);
    return this.versions.mustWait(req)
      ? this.planOnceVersionKnown(req, onResult)
      : this.startPlan({ ...req, version: this.versions.versionFor(req) }, onResult);
  }

  private async planOnceVersionKnown(
    req: types.IPlanRequest,
    onResult: types.ResultListener,
  ): Promise<types.PlanOutcome> {
    if (!(await this.versions.waitForNews(req))) {
      return { kind: 'refused', reason: 'lost', retryAfter: planAdmission.MIN_RETRY_AFTER_MS };
    }
    const version = this.versions.versionFor(req);
    return version === undefined
      ? this.refuseNew(req, 'version-unknown', planVersions.VERSION_WAIT_MS)
      : this.startPlan({ ...req, version }, onResult);
  }

  private refuseNew(
    req: types.IPlanRequest,
    reason: types.PlanRefusal,
    retryAfter: commonTypes.Millis,
  ): types.IPlanRefused {
    const refusal = { kind: 'refused', reason, retryAfter } as const;
    this.freeResults(req.held);
    this.logOutcome(req, refusal, 0);
    return refusal;
  }

  private startPlan(
    req: types.IPlanRequest,
    onResult: types.ResultListener,
  ): Promise<types.PlanOutcome> {
    if (this.isOutOfService(req)) {
      return Promise.resolve(this.refuseNew(req, 'no-endpoint', OUT_OF_SERVICE_RETRY_AFTER_MS));
    }
    if (!this.versions.hasEndpoint(req.service, req.version)) {
      return Promise.resolve(this.refuseNew(req, 'version-gone', VERSION_RETRY_AFTER_MS));
    }
    const held = [...req.held, ...this.takeOverResults(req.requestId)];
    const { refusal: overload, estimate, outrankedAt } = this.admission.decide(req, held);
    const refusal = this.quarantine.check(req) ?? overload;
    if (refusal !== undefined) {
      this.quarantine.recordEnded(req.planId, 'left');
      this.freeResults(held);
      if (outrankedAt !== undefined) {
        this.deps.metrics.count('plan_outranked', { service: outrankedAt });
      }
      this.logOutcome(req, refusal, 0, { ...estimate, outrankedAt });
      return Promise.resolve(refusal);
    }
    return new Promise((resolve) => {
      const now = this.deps.clock.monotonic();
      const order: stageJob.IStageJobRequest = {
        requestId: req.requestId,
        stages: req.stages,
        itemCounts: req.pieces,
        key: req.pieceKey,
        priority: req.priority,
        goalAt: now + req.goalLeft,
        deadlineAt: now + req.deadlineLeft,
        engineLatency: enginePlacer.EnginePlacer.typicalTimeToFirstToken,
        preferredZone: this.placers.get(req.service)?.preferredZone(req.prompt),
      };
      const job = new stageJob.StageJob(
        order,
        this.deps.clock,
        (service) => this.schedulers.get(service),
        {
          onOutcome: (outcome) => this.finishStages(req.planId, outcome),
          onDiscard: (results) => this.releaser.add(results),
          onResult,
        },
      );
      const { planId, avoid } = req;
      const retention = this.deps.clock.setTimer(req.deadlineLeft + PLAN_RETENTION_MS, () =>
        this.removePlan(planId),
      );
      const plan = {
        req,
        job,
        estimate,
        requestedAt: now,
        retention,
        resolve,
        results: undefined,
        avoid,
      };
      this.plans.set(planId, plan);
      if (estimate.isTight) {
        this.outcomes.recordAdmitted(req);
      }
      this.latestPlanIds.set(req.requestId, planId);
      job.start(held);
    });
  }

  /** Frees results that an earlier coordinator produced; results of endpoints that are no longer listed are skipped. */
  freeResults(records: readonly batching.IResultRecord[]): void {
    const { endpoints } = this.deps.directory.current;
    const now = this.deps.clock.monotonic();
    records.forEach(({ maker: makerId, handle, life }) => {
      const maker = endpoints.find(({ id }) => id === makerId);
      if (maker !== undefined) {
        // Its room is not accounted for here.
        const release = (): void => {};
        this.releaser.add([{ handle, maker, bytes: 0, expiresAt: now + life, release }]);
      }
    });
  }

  /** Removes a plan without freeing its results, because another coordinator continues it. */
  abandon(planId: string): void {
    const plan = this.plans.get(planId);
    if (plan !== undefined) {
      plan.job.abandon();
      this.removePlan(planId);
    }
  }

  /** Removes all plans without freeing their results, because another coordinator continues them. */
  abandonAll(): void {
    [...this.plans.keys()].forEach((planId) => this.abandon(planId));
  }

  /** @inheritdoc */
  reassign(
    planId: string,
    failed: string,
    failure: types.EngineFailure,
  ): Promise<types.PlanOutcome> {
    const plan = this.plans.get(planId);
    if (failure !== 'limited') {
      this.recordFailure(planId, failed);
    }
    this.quarantine.recordEnded(planId, failure === 'broken' ? 'broken' : 'not-run', failed);
    if (plan?.results === undefined || this.hasExpiringResults(plan)) {
      this.removePlan(planId);
      return Promise.resolve({
        kind: 'refused',
        reason: 'lost',
        retryAfter: planAdmission.MIN_RETRY_AFTER_MS,
      });
    }
    plan.avoid = [...plan.avoid, failed];
    return new Promise((resolve) => {
      plan.resolve = resolve;
      this.placeRequest(planId, plan);
    });
  }

  /** @inheritdoc */
  cancel(planId: string): void {
    this.removePlan(planId);
  }

  /** @inheritdoc */
  markStarted(planId: string, isSuccess: boolean, slowdown?: number): void {
    if (isSuccess) {
      this.quarantine.recordStarted(planId);
    }
    const plan = this.plans.get(planId);
    if (plan !== undefined) {
      this.outcomes.recordOutcome(plan.req, 'begun');
      this.hedges?.recordStarted(planId, isSuccess);
      this.placers.get(plan.req.service)?.markStarted(planId, slowdown);
      plan.results = undefined;
      plan.job.cancel();
    }
  }

  /** @inheritdoc */
  hedge(planId: string): Promise<routing.IEndpoint | undefined> {
    const plan = this.plans.get(planId);
    const mayHedge =
      plan?.results !== undefined &&
      !this.hasExpiringResults(plan) &&
      !this.quarantine.isSuspect(plan.req) &&
      !this.placementQueue.hasService(plan.req.service);
    const endpoint = mayHedge ? this.hedges?.request(planId) : undefined;
    if (plan !== undefined && endpoint !== undefined) {
      this.quarantine.recordSecond(plan.req, endpoint);
    }
    return Promise.resolve(endpoint);
  }

  /** @inheritdoc */
  settleHedge(planId: string, { winner, failed }: types.IHedgeEnd): void {
    const loser = this.hedges?.settle(planId, winner) ?? 'second';
    const plan = this.plans.get(planId);
    if (failed !== undefined && plan !== undefined) {
      plan.avoid = [...plan.avoid, failed.endpoint];
    }
    if (failed !== undefined && failed.failure !== 'limited') {
      this.recordFailure(planId, failed.endpoint);
    }
    const notBroken = failed === undefined ? 'left' : 'not-run';
    const end = failed?.failure === 'broken' ? 'broken' : notBroken;
    this.quarantine.recordRaceEnded(planId, loser, end, failed?.endpoint);
  }

  /** @inheritdoc */
  markEnded(planId: string, failed?: string, eventGap?: commonTypes.Millis): void {
    if (failed !== undefined) {
      this.recordFailure(planId, failed);
    }
    if (eventGap !== undefined) {
      this.placers.forEach((placer) => placer.recordEventGap(planId, eventGap));
    }
    this.quarantine.recordEnded(planId, failed === undefined ? 'whole' : 'broken', failed);
    this.removePlan(planId);
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
    [...this.plans.keys()].forEach((id) => this.removePlan(id));
    this.schedulers.forEach((scheduler) => scheduler.dispose());
    this.placementQueue.dispose();
    this.quarantine.dispose();
    this.releaser.dispose();
  }

  private updateServices(): void {
    const { directory, clock, rateLimiter } = this.deps;
    this.routingTable?.services.forEach(({ name, batch, engine }) => {
      if (batch !== undefined) {
        const scheduler =
          this.schedulers.get(name) ?? new stageScheduler.StageScheduler(name, batch, this.deps);
        this.schedulers.set(name, scheduler);
        scheduler.updateEndpoints(directory.ready(name), batch, directory.isOutOfService(name));
      }
      if (engine !== undefined) {
        const placer =
          this.placers.get(name) ??
          new enginePlacer.EnginePlacer(clock, engine, rateLimiter, this.rooms);
        this.placers.set(name, placer);
        placer.updateEndpoints(directory.ready(name), engine);
      }
    });
    this.versions.recordListed();
    this.refuseOutOfService();
  }

  /** Whether the engines of a new request, or of a stage that it needs, are all in zones out of service. */
  private isOutOfService({ service, stages, pieces, held }: types.IPlanRequest): boolean {
    const { directory } = this.deps;
    const isMissing = (at: number): boolean =>
      (pieces[at] ?? 0) > held.filter(({ stage }) => stage === at).length;
    return (
      directory.isOutOfService(service) ||
      stages.some((stage, at) => isMissing(at) && directory.isOutOfService(stage.service))
    );
  }

  /** Refuses the plans without an engine whose engines are all out of service. */
  private refuseOutOfService(): void {
    const { directory } = this.deps;
    [...this.plans].forEach(([planId, plan]) => {
      if (plan.resolve !== undefined && directory.isOutOfService(plan.req.service)) {
        this.refusePlan(planId, plan, 'no-endpoint', OUT_OF_SERVICE_RETRY_AFTER_MS);
      }
    });
  }

  /**
   * Abandons the earlier plan of a request at this coordinator and returns its results. Such a plan exists
   * when the entry VM has reconnected.
   */
  private takeOverResults(requestId: string): readonly batching.IResultRecord[] {
    const planId = this.latestPlanIds.get(requestId);
    const earlierPlan = planId === undefined ? undefined : this.plans.get(planId);
    if (planId === undefined || earlierPlan === undefined) {
      return [];
    }
    const { records } = earlierPlan.job;
    this.abandon(planId);
    return records;
  }

  private recordFailure(planId: string, endpoint: string): void {
    this.placers.forEach((placer) => placer.recordFailure(endpoint));
    this.deps.logService.warn('engine-failed', { plan: planId, endpoint });
  }

  private finishStages(planId: string, outcome: stageJob.JobOutcome): void {
    const plan = this.plans.get(planId);
    if (plan === undefined) {
      return;
    }
    if (outcome.kind === 'failed') {
      const { directory } = this.deps;
      if (plan.req.stages.some(({ service }) => directory.isOutOfService(service))) {
        this.refusePlan(planId, plan, 'no-endpoint', OUT_OF_SERVICE_RETRY_AFTER_MS);
        return;
      }
      const reason = outcome.reason === 'expired' ? 'too-late' : 'stage-failed';
      if (reason === 'too-late') {
        this.outcomes.recordOutcome(plan.req, 'given-up');
      }
      this.refusePlan(planId, plan, reason, planAdmission.MIN_RETRY_AFTER_MS);
      return;
    }
    plan.results = outcome.results;
    this.placeRequest(planId, plan);
  }

  /**
   * Chooses an engine for a plan whose stages are complete, and resolves the plan. Queues the plan if rate limits allow
   * no engine now.
   */
  private placeRequest(planId: string, plan: IPlanState): void {
    const { req, avoid, results = [] } = plan;
    const refusal = this.quarantine.check(req);
    if (refusal !== undefined) {
      this.refusePlan(planId, plan, refusal.reason, refusal.retryAfter);
      return;
    }
    const inputs = results.map(({ maker, bytes }) => ({ zone: maker.availabilityZone, bytes }));
    const { version } = req;
    const placement = { planId, prompt: req.prompt, inputs, avoid, version };
    const placer = this.placers.get(req.service);
    const mustWait = this.placementQueue.hasBefore(Coordinator.waitingPlanOf(plan));
    const endpoint = mustWait ? undefined : placer?.place(placement);
    if (endpoint === undefined) {
      const limitDelay = placer?.limitDelay({ avoid, version }) ?? Number.POSITIVE_INFINITY;
      if (Number.isFinite(limitDelay)) {
        this.queuePlacement(planId, plan, limitDelay);
      } else if (version === undefined) {
        this.refusePlan(planId, plan, 'no-endpoint', planAdmission.MIN_RETRY_AFTER_MS);
      } else {
        this.refusePlan(planId, plan, 'version-gone', VERSION_RETRY_AFTER_MS);
      }
      return;
    }
    this.quarantine.recordPlaced(req, endpoint);
    this.versions.recordPlaced(req, endpoint.version ?? '');
    const hedgeAfter =
      placer === undefined || req.isResumable === false
        ? undefined
        : this.hedges?.recordPlaced({ planId, service: req.service, placer, placement });
    this.resolvePlan(plan, {
      kind: 'ready',
      endpoint,
      inputs: results.map(({ handle }) => handle),
      ...(hedgeAfter === undefined ? {} : { hedgeAfter }),
    });
  }

  private queuePlacement(planId: string, plan: IPlanState, delay: commonTypes.Millis): void {
    const { requestId, service } = plan.req;
    const fields = { request: requestId, plan: planId, service, delay: Math.round(delay) };
    this.deps.logService.info('plan-waits-for-engine', fields);
    this.placementQueue.add(planId, Coordinator.waitingPlanOf(plan), delay);
  }

  private static waitingPlanOf({
    req,
    requestedAt,
    avoid,
  }: IPlanState): placementQueue.IWaitingPlan {
    const { service, priority, goalLeft, version } = req;
    const fitsAnyEngine = avoid.length === 0 && version === undefined;
    return { service, priority, goalAt: requestedAt + goalLeft, fitsAnyEngine };
  }

  private retryPlacement(planId: string): void {
    const plan = this.plans.get(planId);
    if (plan === undefined) {
      return;
    }
    if (this.hasExpiringResults(plan)) {
      this.refusePlan(planId, plan, 'overloaded', planAdmission.MIN_RETRY_AFTER_MS);
      return;
    }
    this.placeRequest(planId, plan);
  }

  private hasExpiringResults({ results = [] }: IPlanState): boolean {
    const limit = this.deps.clock.monotonic() + MIN_RESULT_LIFE_MS;
    return results.some(({ expiresAt }) => expiresAt < limit);
  }

  private countUnplaced(service: string, maxPriority: number): number {
    return [...this.plans.values()].filter(
      ({ req, resolve }) =>
        resolve !== undefined && req.service === service && req.priority <= maxPriority,
    ).length;
  }

  /** Refuses the plans without an engine that have a quarantined trait. */
  private refuseQuarantined(): void {
    [...this.plans].forEach(([planId, plan]) => {
      const refusedFor = plan.resolve === undefined ? 0 : this.quarantine.refusedFor(plan.req);
      if (refusedFor > 0) {
        this.refusePlan(planId, plan, 'quarantined', refusedFor);
      }
    });
  }

  private refusePlan(
    planId: string,
    plan: IPlanState,
    reason: types.PlanRefusal,
    retryAfter: commonTypes.Millis,
  ): void {
    this.resolvePlan(plan, { kind: 'refused', reason, retryAfter });
    this.removePlan(planId);
  }

  private resolvePlan(plan: IPlanState, outcome: types.PlanOutcome): void {
    const { resolve } = plan;
    if (resolve !== undefined) {
      Object.assign(plan, { resolve: undefined });
      const took = this.deps.clock.monotonic() - plan.requestedAt;
      this.logOutcome(plan.req, outcome, took, plan.estimate);
      resolve(outcome);
    }
  }

  private removePlan(planId: string): void {
    this.versions.cancel(planId);
    const plan = this.plans.get(planId);
    if (plan === undefined) {
      return;
    }
    plan.retention.dispose();
    this.plans.delete(planId);
    this.outcomes.forget(plan.req);
    this.quarantine.recordEnded(planId, 'left');
    this.placementQueue.delete(planId);
    if (this.latestPlanIds.get(plan.req.requestId) === planId) {
      this.latestPlanIds.delete(plan.req.requestId);
    }
    this.placers.get(plan.req.service)?.removeRequest(planId);
    this.hedges?.remove(planId);
    this.placementQueue.retry(plan.req.service);
    plan.job.cancel();
    this.resolvePlan(plan, {
      kind: 'refused',
      reason: 'lost',
      retryAfter: planAdmission.MIN_RETRY_AFTER_MS,
    });
  }

  private logOutcome(
    req: types.IPlanRequest,
    outcome: types.PlanOutcome,
    duration: commonTypes.Millis,
    estimate?: planAdmission.IWaitEstimate & { readonly outrankedAt?: string | undefined },
  ): void {
    const fields = {
      request: req.requestId,
      service: req.service,
      pieces: req.pieces.join('/'),
      priority: req.priority,
      version: req.version,
      continues: req.continuedId,
      key: req.pieceKey,
      goalLeft: Math.round(req.goalLeft),
      deadlineLeft: Math.round(req.deadlineLeft),
      took: Math.round(duration),
      stageTime: estimate && Math.round(estimate.stageTime),
      queueDelay: estimate && Math.round(estimate.queueDelay),
      slowest: estimate?.slowest,
      delayOfAll: estimate && Math.round(estimate.delayOfAll),
      estimatesHigh: estimate?.isHigh,
      outrankedAt: estimate?.outrankedAt,
      config: this.routingTable?.version,
      endpoints: this.deps.directory.current.revision,
    };
    if (outcome.kind === 'ready') {
      const { id: endpoint } = outcome.endpoint;
      const relativeTime = this.placers.get(req.service)?.relativeTimeOf(endpoint)?.toFixed(2);
      this.deps.logService.info('plan-ready', { ...fields, endpoint, relativeTime });
    } else {
      const { reason, retryAfter } = outcome;
      this.deps.logService.info('plan-refused', { ...fields, reason, retryAfter });
      this.deps.metrics.count('plan_refused', { reason });
    }
  }
}
