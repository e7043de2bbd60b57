import * as stageEstimate from '../batching/StageEstimate.js';
import * as stageJob from '../batching/StageJob.js';
import * as stageScheduler from '../batching/StageScheduler.js';
import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import * as enginePlacer from '../placing/EnginePlacer.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** Components that a coordinator uses. */
export interface ICoordinatorDependencies {
  readonly clock: commonTypes.IClock;
  readonly caller: batching.IStageCaller;
  readonly directory: endpointDirectory.EndpointDirectory;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

interface IPlanState {
  readonly req: types.IPlanRequest;
  readonly job: stageJob.StageJob;
  readonly requestedAt: commonTypes.Millis;
  resolve: ((outcome: types.PlanOutcome) => void) | undefined;
  /** Results of the last stages, kept until the engine has read them; undefined before all stages are complete. */
  results: readonly batching.IHeldResult[] | undefined;
  avoid: readonly string[];
}

/** Results that become unused within this interval are freed with one call per endpoint. */
const FREE_BATCH_INTERVAL_MS = 8;
/** Minimum `retryAfter` of a refusal. */
const MIN_RETRY_AFTER_MS = 150;
/**
 * Ratio of `retryAfter` to the time left until the deadline for a request refused as overloaded: most bursts end
 * within this time, and enough time is left for a second attempt.
 */
const RETRY_AFTER_DEADLINE_RATIO = 0.3;
/** Results that expire within this time are not sent to another engine. */
const MIN_RESULT_LIFE_MS = 300;
/** A plan for which no end was reported is removed this long after its deadline. */
const PLAN_RETENTION_MS = 2000;
/**
 * A request that will miss its goal is admitted if all queued work, and then the request itself, is done within this
 * ratio of the time left until its deadline.
 */
const LATE_ADMISSION_DEADLINE_RATIO = 0.3;

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

  /** Results to free with the next batch, by endpoint id. */
  private readonly pendingFrees = new Map<string, batching.IHeldResult[]>();

  private freeTimer: commonTypes.IDisposable | undefined;

  private routingTable: routing.IRoutingTable | undefined;

  private readonly subscription: commonTypes.IDisposable;

  /** Creates a coordinator that serves requests once `configure` has been called. */
  constructor(private readonly deps: ICoordinatorDependencies) {
    this.subscription = deps.directory.onChange(() => this.updateServices());
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

  /** @inheritdoc */
  plan(
    req: types.IPlanRequest,
    onResult: types.ResultListener = () => {},
  ): Promise<types.PlanOutcome> {
    const held = [...req.held, ...this.takeOverResults(req.requestId)];
    const refusal = this.checkAdmission(req, held);
    if (refusal !== undefined) {
      this.freeResults(held);
      this.logOutcome(req, refusal, 0);
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
          onDiscard: (results) => this.queueFree(results),
          onResult,
        },
      );
      const { planId, avoid } = req;
      this.plans.set(planId, { req, job, requestedAt: now, resolve, results: undefined, avoid });
      this.latestPlanIds.set(req.requestId, planId);
      this.deps.clock.setTimer(req.deadlineLeft + PLAN_RETENTION_MS, () => this.removePlan(planId));
      job.start(held);
    });
  }

  /** Frees results that an earlier coordinator produced; results of endpoints that are no longer listed are skipped. */
  freeResults(records: readonly batching.IResultRecord[]): void {
    const { endpoints } = this.deps.directory.current;
    records.forEach(({ maker, handle }) => {
      const endpoint = endpoints.find(({ id }) => id === maker);
      if (endpoint !== undefined) {
        void this.deps.caller.free(endpoint, [handle]);
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
  reassign(planId: string, failed: string): Promise<types.PlanOutcome> {
    const plan = this.plans.get(planId);
    this.recordFailure(planId, failed);
    const limit = this.deps.clock.monotonic() + MIN_RESULT_LIFE_MS;
    if (plan?.results === undefined || plan.results.some(({ expiresAt }) => expiresAt < limit)) {
      this.removePlan(planId);
      return Promise.resolve({ kind: 'refused', reason: 'lost', retryAfter: MIN_RETRY_AFTER_MS });
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
  markStarted(planId: string): void {
    const plan = this.plans.get(planId);
    if (plan !== undefined) {
      this.placers.get(plan.req.service)?.markStarted(planId);
      plan.results = undefined;
      plan.job.cancel();
    }
  }

  /** @inheritdoc */
  markEnded(planId: string, failed?: string): void {
    if (failed !== undefined) {
      this.recordFailure(planId, failed);
    }
    this.removePlan(planId);
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
    [...this.plans.keys()].forEach((id) => this.removePlan(id));
    this.schedulers.forEach((scheduler) => scheduler.dispose());
    this.freeTimer?.dispose();
    this.flushFrees();
  }

  private updateServices(): void {
    const { directory, clock } = this.deps;
    this.routingTable?.services.forEach(({ name, batch, engine }) => {
      if (batch !== undefined) {
        const scheduler =
          this.schedulers.get(name) ?? new stageScheduler.StageScheduler(name, batch, this.deps);
        this.schedulers.set(name, scheduler);
        scheduler.updateEndpoints(directory.ready(name), batch);
      }
      if (engine !== undefined) {
        const placer = this.placers.get(name) ?? new enginePlacer.EnginePlacer(clock, engine);
        this.placers.set(name, placer);
        placer.updateEndpoints(directory.ready(name), engine);
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

  /**
   * Returns a refusal for a request that can't be served in time because the work queued before it takes
   * longer than the time that the request has left; undefined if the request is admitted.
   */
  private checkAdmission(
    req: types.IPlanRequest,
    held: readonly batching.IResultRecord[],
  ): types.PlanOutcome | undefined {
    const schedulerOf = (service: string): stageScheduler.StageScheduler | undefined =>
      this.schedulers.get(service);
    const missingStages = req.stages
      .map((stage, at) => ({ stage, at, scheduler: schedulerOf(stage.service) }))
      .filter(({ at }) => (req.pieces[at] ?? 0) > held.filter(({ stage }) => stage === at).length);
    if (missingStages.length === 0) {
      return undefined;
    }
    const remainingTimes = missingStages
      .filter(({ stage }) => stage.after.length === 0)
      .map(({ at }) =>
        stageEstimate.estimateRemainingTime(req.stages, req.pieces, at, schedulerOf),
      );
    const remaining =
      Math.max(0, ...remainingTimes) + enginePlacer.EnginePlacer.typicalTimeToFirstToken;
    const queueDelays = (priority: number): readonly number[] =>
      missingStages.map(
        ({ scheduler }) => scheduler?.demandDelay(priority) ?? Number.POSITIVE_INFINITY,
      );
    const meetsGoal = Math.max(...queueDelays(req.priority)) + remaining <= req.goalLeft;
    const afterAllQueued = Math.max(...queueDelays(Number.POSITIVE_INFINITY)) + remaining;
    if (remaining > req.deadlineLeft) {
      return { kind: 'refused', reason: 'too-late', retryAfter: MIN_RETRY_AFTER_MS };
    }
    if (meetsGoal || afterAllQueued <= req.deadlineLeft * LATE_ADMISSION_DEADLINE_RATIO) {
      return undefined;
    }
    const retryAfter = Math.max(MIN_RETRY_AFTER_MS, req.deadlineLeft * RETRY_AFTER_DEADLINE_RATIO);
    return { kind: 'refused', reason: 'overloaded', retryAfter };
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
      const reason = outcome.reason === 'expired' ? 'too-late' : 'stage-failed';
      this.resolvePlan(plan, { kind: 'refused', reason, retryAfter: MIN_RETRY_AFTER_MS });
      this.removePlan(planId);
      return;
    }
    plan.results = outcome.results;
    this.placeRequest(planId, plan);
  }

  /** Chooses an engine for a plan whose stages are complete, and resolves the plan. */
  private placeRequest(planId: string, plan: IPlanState): void {
    const { req, avoid, results = [] } = plan;
    const inputs = results.map(({ maker, bytes }) => ({ zone: maker.availabilityZone, bytes }));
    const placement = { planId, prompt: req.prompt, inputs, avoid };
    const endpoint = this.placers.get(req.service)?.place(placement);
    if (endpoint === undefined) {
      this.resolvePlan(plan, {
        kind: 'refused',
        reason: 'no-endpoint',
        retryAfter: MIN_RETRY_AFTER_MS,
      });
      this.removePlan(planId);
      return;
    }
    this.resolvePlan(plan, {
      kind: 'ready',
      endpoint,
      inputs: results.map(({ handle }) => handle),
    });
  }

  private resolvePlan(plan: IPlanState, outcome: types.PlanOutcome): void {
    const { resolve } = plan;
    if (resolve !== undefined) {
      Object.assign(plan, { resolve: undefined });
      this.logOutcome(plan.req, outcome, this.deps.clock.monotonic() - plan.requestedAt);
      resolve(outcome);
    }
  }

  private removePlan(planId: string): void {
    const plan = this.plans.get(planId);
    if (plan === undefined) {
      return;
    }
    this.plans.delete(planId);
    if (this.latestPlanIds.get(plan.req.requestId) === planId) {
      this.latestPlanIds.delete(plan.req.requestId);
    }
    this.placers.get(plan.req.service)?.removeRequest(planId);
    plan.job.cancel();
    this.resolvePlan(plan, { kind: 'refused', reason: 'lost', retryAfter: MIN_RETRY_AFTER_MS });
  }

  private logOutcome(
    req: types.IPlanRequest,
    outcome: types.PlanOutcome,
    duration: commonTypes.Millis,
  ): void {
    const fields = {
      request: req.requestId,
      service: req.service,
      pieces: req.pieces.join('/'),
      priority: req.priority,
      key: req.pieceKey,
      goalLeft: Math.round(req.goalLeft),
      deadlineLeft: Math.round(req.deadlineLeft),
      took: Math.round(duration),
      config: this.routingTable?.version,
      endpoints: this.deps.directory.current.revision,
    };
    if (outcome.kind === 'ready') {
      this.deps.logService.info('plan-ready', { ...fields, endpoint: outcome.endpoint.id });
    } else {
      const { reason, retryAfter } = outcome;
      this.deps.logService.info('plan-refused', { ...fields, reason, retryAfter });
      this.deps.metrics.count('plan_refused', { reason });
    }
  }

  private queueFree(results: readonly batching.IHeldResult[]): void {
    results.forEach((result) => {
      const batch = this.pendingFrees.get(result.maker.id) ?? [];
      batch.push(result);
      this.pendingFrees.set(result.maker.id, batch);
    });
    if (this.pendingFrees.size > 0 && this.freeTimer === undefined) {
      this.freeTimer = this.deps.clock.setTimer(FREE_BATCH_INTERVAL_MS, () => this.flushFrees());
    }
  }

  private flushFrees(): void {
    this.freeTimer = undefined;
    const batches = [...this.pendingFrees.values()];
    this.pendingFrees.clear();
    batches.forEach((results) => {
      void this.freeBatch(results);
    });
  }

  /** Frees results of one endpoint; their memory counts as available only after the endpoint has confirmed. */
  private async freeBatch(results: readonly batching.IHeldResult[]): Promise<void> {
    const { maker } = results[0] as batching.IHeldResult;
    const handles = results.map(({ handle }) => handle);
    if (await this.deps.caller.free(maker, handles)) {
      results.forEach((result) => result.release());
      this.schedulers.get(maker.service)?.scheduleDispatch(0);
    }
  }
}
