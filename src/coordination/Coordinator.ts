import * as stageJob from '../batching/StageJob.js';
import * as stageScheduler from '../batching/StageScheduler.js';
import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import * as enginePlacer from '../placing/EnginePlacer.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** What a coordinator works with. */
export interface ICoordinatorNeeds {
  readonly clock: commonTypes.IClock;
  readonly caller: batching.IStageCaller;
  readonly directory: endpointDirectory.EndpointDirectory;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

interface IPlanned {
  readonly req: types.IPlanRequest;
  readonly job: stageJob.StageJob;
  readonly since: commonTypes.Millis;
  resolve: ((outcome: types.PlanOutcome) => void) | undefined;
  /** Results that wait for the engine; absent before they are made. */
  results: readonly batching.IHeldResult[] | undefined;
  avoid: readonly string[];
}

/** Results that are given back together. */
const FREE_INTERVAL_MS = 8;
/** A refused caller is told to come back no sooner. */
const MIN_RETRY_MS = 150;
/** A caller whose goal is missed anyway comes back after this share of its time: most bursts are over, and time is left. */
const RETURN_SHARE = 0.3;
/** Results whose life ends within this time are not handed to another engine. */
const RESULT_MARGIN_MS = 300;
/** A plan whose end was never told is dropped this long after its deadline. */
const FORGET_MS = 2000;
/** A request that misses its goal is taken when all work that waits is done within this share of its time. */
const LATE_SHARE = 0.3;

/**
 * Plans the requests of all entry VMs in one place, so that batches hold items of many of them.
 * Holds soft state only: when it is lost, its successor starts with nothing and entries ask again.
 */
export class Coordinator implements types.IPlanner, commonTypes.IDisposable {
  private readonly lanes = new Map<string, stageScheduler.StageScheduler>();

  private readonly placers = new Map<string, enginePlacer.EnginePlacer>();

  private readonly plans = new Map<string, IPlanned>();

  /** The newest plan of each request. */
  private readonly planOf = new Map<string, string>();

  private readonly toFree = new Map<string, batching.IHeldResult[]>();

  private freeTimer: commonTypes.IDisposable | undefined;

  private table: routing.IRoutingTable | undefined;

  private readonly subscription: commonTypes.IDisposable;

  /** Plans nothing before `configure`. */
  constructor(private readonly needs: ICoordinatorNeeds) {
    this.subscription = needs.directory.onChange(() => this.follow());
  }

  /** Takes a version of the configuration. */
  configure(table: routing.IRoutingTable): void {
    this.table = table;
    this.follow();
  }

  /** Plans that wait or run. */
  get size(): number {
    return this.plans.size;
  }

  /** @inheritdoc */
  plan(req: types.IPlanRequest, onMade: types.MadeListener = () => {}): Promise<types.PlanOutcome> {
    const held = [...req.held, ...this.takeOver(req.requestId)];
    const refusal = this.findRefusal(req, held);
    if (refusal !== undefined) {
      this.spare(held);
      this.log(req, refusal, 0);
      return Promise.resolve(refusal);
    }
    return new Promise((resolve) => {
      const now = this.needs.clock.monotonic();
      const order: stageJob.IStageJobRequest = {
        requestId: req.requestId,
        stages: req.stages,
        itemCounts: req.pieces,
        key: req.pieceKey,
        priority: req.priority,
        goalAt: now + req.goalLeft,
        deadlineAt: now + req.deadlineLeft,
        engineLatency: enginePlacer.EnginePlacer.usualStart,
        preferredZone: this.placers.get(req.service)?.preferredZone(req.prompt),
      };
      const job = new stageJob.StageJob(
        order,
        this.needs.clock,
        (service) => this.lanes.get(service),
        {
          onEnd: (end) => this.finishStages(req.planId, end),
          onDiscard: (results) => this.free(results),
          onResult: onMade,
        },
      );
      const { planId, avoid } = req;
      this.plans.set(planId, { req, job, since: now, resolve, results: undefined, avoid });
      this.planOf.set(req.requestId, planId);
      this.needs.clock.setTimer(req.deadlineLeft + FORGET_MS, () => this.drop(planId));
      job.start(held);
    });
  }

  /** Gives back results that another coordinator had made. */
  spare(records: readonly batching.IResultRecord[]): void {
    const { endpoints } = this.needs.directory.current;
    records.forEach(({ maker, handle }) => {
      const endpoint = endpoints.find(({ id }) => id === maker);
      if (endpoint !== undefined) {
        void this.needs.caller.free(endpoint, [handle]);
      }
    });
  }

  /** Another coordinator goes on with the plan: nothing of it is given back. */
  abandon(planId: string): void {
    const planned = this.plans.get(planId);
    if (planned !== undefined) {
      planned.job.abandon();
      this.drop(planId);
    }
  }

  /** Another coordinator goes on with all plans. */
  abandonAll(): void {
    [...this.plans.keys()].forEach((planId) => this.abandon(planId));
  }

  /** @inheritdoc */
  again(planId: string, failed: string): Promise<types.PlanOutcome> {
    const planned = this.plans.get(planId);
    this.noteFailure(planId, failed);
    const limit = this.needs.clock.monotonic() + RESULT_MARGIN_MS;
    if (planned?.results === undefined || planned.results.some(({ expires }) => expires < limit)) {
      this.drop(planId);
      return Promise.resolve({ kind: 'refused', reason: 'lost', retryAfter: MIN_RETRY_MS });
    }
    planned.avoid = [...planned.avoid, failed];
    return new Promise((resolve) => {
      planned.resolve = resolve;
      this.place(planId, planned);
    });
  }

  /** @inheritdoc */
  cancel(planId: string): void {
    this.drop(planId);
  }

  /** @inheritdoc */
  started(planId: string): void {
    const planned = this.plans.get(planId);
    if (planned !== undefined) {
      this.placers.get(planned.req.service)?.started(planId);
      planned.results = undefined;
      planned.job.cancel();
    }
  }

  /** @inheritdoc */
  ended(planId: string, failed?: string): void {
    if (failed !== undefined) {
      this.noteFailure(planId, failed);
    }
    this.drop(planId);
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
    [...this.plans.keys()].forEach((id) => this.drop(id));
    this.lanes.forEach((lane) => lane.dispose());
    this.freeTimer?.dispose();
    this.flushFree();
  }

  private follow(): void {
    const { directory, clock } = this.needs;
    this.table?.services.forEach(({ name, batch, engine }) => {
      if (batch !== undefined) {
        const lane =
          this.lanes.get(name) ?? new stageScheduler.StageScheduler(name, batch, this.needs);
        this.lanes.set(name, lane);
        lane.updateEndpoints(directory.ready(name), batch);
      }
      if (engine !== undefined) {
        const placer = this.placers.get(name) ?? new enginePlacer.EnginePlacer(clock, engine);
        this.placers.set(name, placer);
        placer.follow(directory.ready(name), engine);
      }
    });
  }

  /** Results of an earlier plan of the request here, which ends: its VM has connected anew. */
  private takeOver(requestId: string): readonly batching.IResultRecord[] {
    const planId = this.planOf.get(requestId);
    const earlier = planId === undefined ? undefined : this.plans.get(planId);
    if (planId === undefined || earlier === undefined) {
      return [];
    }
    const { records } = earlier.job;
    this.abandon(planId);
    return records;
  }

  /** Refuses at once what can't be served in time: the work that goes before it takes longer than it has. */
  private findRefusal(
    req: types.IPlanRequest,
    held: readonly batching.IResultRecord[],
  ): types.PlanOutcome | undefined {
    const laneOf = (service: string): stageScheduler.StageScheduler | undefined =>
      this.lanes.get(service);
    const needed = req.stages
      .map((stage, at) => ({ stage, at, lane: laneOf(stage.service) }))
      .filter(({ at }) => (req.pieces[at] ?? 0) > held.filter(({ stage }) => stage === at).length);
    if (needed.length === 0) {
      return undefined;
    }
    const rests = needed
      .filter(({ stage }) => stage.after.length === 0)
      .map(({ at }) => stageJob.StageJob.estimateRemainingTime(req.stages, req.pieces, at, laneOf));
    const rest = Math.max(0, ...rests) + enginePlacer.EnginePlacer.usualStart;
    const delays = (priority: number): readonly number[] =>
      needed.map(({ lane }) => lane?.demandDelay(priority) ?? Number.POSITIVE_INFINITY);
    const inTime = Math.max(...delays(req.priority)) + rest <= req.goalLeft;
    const whole = Math.max(...delays(Number.POSITIVE_INFINITY)) + rest;
    if (rest > req.deadlineLeft) {
      return { kind: 'refused', reason: 'too-late', retryAfter: MIN_RETRY_MS };
    }
    if (inTime || whole <= req.deadlineLeft * LATE_SHARE) {
      return undefined;
    }
    const retryAfter = Math.max(MIN_RETRY_MS, req.deadlineLeft * RETURN_SHARE);
    return { kind: 'refused', reason: 'overloaded', retryAfter };
  }

  private noteFailure(planId: string, endpoint: string): void {
    this.placers.forEach((placer) => placer.noteFailure(endpoint));
    this.needs.logService.warn('engine-failed', { plan: planId, endpoint });
  }

  private finishStages(planId: string, end: stageJob.JobEnd): void {
    const planned = this.plans.get(planId);
    if (planned === undefined) {
      return;
    }
    if (end.kind === 'failed') {
      const reason = end.reason === 'expired' ? 'too-late' : 'stage-failed';
      this.settle(planned, { kind: 'refused', reason, retryAfter: MIN_RETRY_MS });
      this.drop(planId);
      return;
    }
    planned.results = end.results;
    this.place(planId, planned);
  }

  /** Chooses the engine once the stages are made. */
  private place(planId: string, planned: IPlanned): void {
    const { req, avoid, results = [] } = planned;
    const inputs = results.map(({ maker, bytes }) => ({ zone: maker.availabilityZone, bytes }));
    const place = { planId, prompt: req.prompt, inputs, avoid };
    const endpoint = this.placers.get(req.service)?.place(place);
    if (endpoint === undefined) {
      this.settle(planned, { kind: 'refused', reason: 'no-endpoint', retryAfter: MIN_RETRY_MS });
      this.drop(planId);
      return;
    }
    this.settle(planned, { kind: 'ready', endpoint, inputs: results.map(({ handle }) => handle) });
  }

  private settle(planned: IPlanned, outcome: types.PlanOutcome): void {
    const { resolve } = planned;
    if (resolve !== undefined) {
      Object.assign(planned, { resolve: undefined });
      this.log(planned.req, outcome, this.needs.clock.monotonic() - planned.since);
      resolve(outcome);
    }
  }

  private drop(planId: string): void {
    const planned = this.plans.get(planId);
    if (planned === undefined) {
      return;
    }
    this.plans.delete(planId);
    if (this.planOf.get(planned.req.requestId) === planId) {
      this.planOf.delete(planned.req.requestId);
    }
    this.placers.get(planned.req.service)?.end(planId);
    planned.job.cancel();
    this.settle(planned, { kind: 'refused', reason: 'lost', retryAfter: MIN_RETRY_MS });
  }

  private log(req: types.IPlanRequest, outcome: types.PlanOutcome, took: commonTypes.Millis): void {
    const fields = {
      request: req.requestId,
      service: req.service,
      pieces: req.pieces.join('/'),
      priority: req.priority,
      key: req.pieceKey,
      goalLeft: Math.round(req.goalLeft),
      deadlineLeft: Math.round(req.deadlineLeft),
      took: Math.round(took),
      config: this.table?.version,
      endpoints: this.needs.directory.current.revision,
    };
    if (outcome.kind === 'ready') {
      this.needs.logService.info('plan-ready', { ...fields, endpoint: outcome.endpoint.id });
    } else {
      const { reason, retryAfter } = outcome;
      this.needs.logService.info('plan-refused', { ...fields, reason, retryAfter });
      this.needs.metrics.count('plan_refused', { reason });
    }
  }

  private free(results: readonly batching.IHeldResult[]): void {
    results.forEach((result) => {
      const waiting = this.toFree.get(result.maker.id) ?? [];
      waiting.push(result);
      this.toFree.set(result.maker.id, waiting);
    });
    if (this.toFree.size > 0 && this.freeTimer === undefined) {
      this.freeTimer = this.needs.clock.setTimer(FREE_INTERVAL_MS, () => this.flushFree());
    }
  }

  private flushFree(): void {
    this.freeTimer = undefined;
    const waiting = [...this.toFree.values()];
    this.toFree.clear();
    waiting.forEach((results) => {
      void this.giveBack(results);
    });
  }

  /** Counts room as free only once its holder has agreed. */
  private async giveBack(results: readonly batching.IHeldResult[]): Promise<void> {
    const { maker } = results[0] as batching.IHeldResult;
    const handles = results.map(({ handle }) => handle);
    if (await this.needs.caller.free(maker, handles)) {
      results.forEach((result) => result.release());
      this.lanes.get(maker.service)?.scheduleDispatch(0);
    }
  }
}
