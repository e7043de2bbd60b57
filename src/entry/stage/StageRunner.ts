import type * as commonServices from '../../common/services/Services.js';
import * as requestError from '../../common/RequestError.js';
import type * as refusals from '../../common/Refusals.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as admission from '../limits/Admission.js';
import * as retryBudget from '../limits/RetryBudget.js';
import type * as entryTypes from '../Types.js';
import * as attemptRace from './AttemptRace.js';
import type * as crashTracker from './CrashTracker.js';
import * as forecaster from './Forecaster.js';
import * as resumingStream from './ResumingStream.js';
import type * as stageTimes from './StageTimes.js';

/** Retry-after time of a request whose deadline cannot be met. */
const RETRY_AFTER_MS = 1_000;

/** Services that the stage runner uses. */
export interface IStageRunnerServices {
  /** Distinguishes call ids of this process from those of other processes for the same request id. */
  readonly callTag: string;
  readonly clock: commonTypes.IClock;
  readonly metrics: commonServices.IMetricsService;
  readonly client: entryTypes.IEndpointClient;
  readonly picker: entryTypes.IEndpointPicker;
  readonly admission: admission.Admission;
  readonly times: stageTimes.StageTimes;
  readonly crashes: crashTracker.CrashTracker;
}

/** Runs stages: admission, endpoint choice, retries, hedges and stream resumption. No other layer retries. */
export class StageRunner implements entryTypes.IStageRunner {
  private readonly retryBudgets = new Map<string, retryBudget.RetryBudget>();

  private readonly forecaster: forecaster.Forecaster;

  /** Requests that have already been admitted to a stage. */
  private readonly startedRequests = new WeakSet<entryTypes.IRequestContext>();

  private callCount = 0;

  /** `options` applies to every stage; `services` are shared by all requests. */
  constructor(
    private readonly options: decisionOptions.IDecisionOptions,
    private readonly services: IStageRunnerServices,
  ) {
    this.forecaster = new forecaster.Forecaster(
      options.deadline,
      options.limits,
      services.clock,
      services.times,
      services.admission,
    );
  }

  /** Drops the retry budgets of pools that are no longer declared. */
  updateConfiguration(cfg: configTypes.IConfiguration): void {
    const declared = new Set(cfg.declaration.pools.map((pool) => pool.name));
    [...this.retryBudgets.keys()]
      .filter((key) => !declared.has(key.slice(key.indexOf(' ') + 1)))
      .forEach((key) => this.retryBudgets.delete(key));
  }

  /** @inheritdoc */
  async run(
    call: entryTypes.IStageCall,
    ctx: entryTypes.IRequestContext,
  ): Promise<entryTypes.IStageAnswer> {
    const arrived = this.services.clock.monotonic();
    const permit = await this.admit(call, ctx);
    const started = this.services.clock.monotonic();
    let outcome: 'ok' | 'failed' = 'failed';
    try {
      const winner = await this.createRace(call, ctx, false, (endpoint, endpointCall, signal) =>
        this.services.client.call(endpoint, endpointCall, signal),
      ).run();
      winner.attempt.succeed(winner.result.load);
      outcome = 'ok';
      this.recordStage(call, ctx, arrived);
      const { status, headers, body } = winner.result;
      return { status, headers, body };
    } finally {
      permit.release(outcome, this.services.clock.monotonic() - started);
    }
  }

  /** @inheritdoc */
  async runStream(
    call: entryTypes.IStageCall,
    ctx: entryTypes.IRequestContext,
  ): Promise<entryTypes.IStageStream> {
    const arrived = this.services.clock.monotonic();
    const permit = await this.admit(call, ctx);
    const started = this.services.clock.monotonic();
    try {
      const winner = await this.startStream(call, ctx, undefined, []);
      const chunks = new resumingStream.ResumingStream(
        winner,
        call,
        ctx,
        this.services.metrics,
        (lastId, tried) => this.startStream(call, ctx, lastId, tried),
        (outcome) => {
          permit.release(outcome, this.services.clock.monotonic() - started);
          if (outcome === 'ok') {
            this.recordStage(call, ctx, arrived);
          }
        },
      );
      const { status, headers } = winner.result;
      return { status, headers, chunks };
    } catch (err) {
      permit.release('failed', this.services.clock.monotonic() - started);
      throw err;
    }
  }

  /** @inheritdoc */
  forecast(
    stages: readonly entryTypes.IStageRef[],
    ctx: entryTypes.IRequestContext,
  ): refusals.RefusalCode | undefined {
    return this.forecaster.forecast(stages, ctx);
  }

  private startStream(
    call: entryTypes.IStageCall,
    ctx: entryTypes.IRequestContext,
    lastId: string | undefined,
    tried: readonly string[],
  ): Promise<attemptRace.IWinner<entryTypes.IEndpointStream>> {
    const headers = { ...call.headers, ...resumingStream.resumeHeaders(lastId) };
    const resumed = lastId === undefined ? call : { ...call, headers };
    const send: attemptRace.SendAttempt<entryTypes.IEndpointStream> = (
      endpoint,
      endpointCall,
      signal,
    ) => this.services.client.stream(endpoint, endpointCall, signal);
    return this.createRace(resumed, ctx, true, send, tried).run();
  }

  private createRace<T>(
    call: entryTypes.IStageCall,
    ctx: entryTypes.IRequestContext,
    stream: boolean,
    send: attemptRace.SendAttempt<T>,
    tried: readonly string[] = [],
  ): attemptRace.AttemptRace<T> {
    const { clock, metrics, times, crashes, picker } = this.services;
    const pool = this.services.admission.pool(call.pool);
    const services: attemptRace.IRaceServices = {
      clock,
      metrics,
      times,
      crashes,
      picker,
      options: this.options,
      budget: this.retryBudgetOf(call.pool, ctx),
      hasSpareCapacity: () => pool.hasSpareCapacity(),
      onRefused: () => pool.observeRefusal(),
      callId: (context) => this.nextCallId(context),
    };
    const plan = times.plan(call, ctx);
    return new attemptRace.AttemptRace(services, call, ctx, plan, stream, send, tried);
  }

  /** Acquires a slot of the pool, after the checks that do not need one. */
  private async admit(
    call: entryTypes.IStageCall,
    ctx: entryTypes.IRequestContext,
  ): Promise<entryTypes.IPermit> {
    if (this.services.crashes.isQuarantined(ctx.fingerprint)) {
      throw new requestError.RequestError(
        'quarantined',
        'request is quarantined: it crashed endpoints and needs an operator to lift the quarantine',
        { run: 'not-run' },
      );
    }
    const plan = this.services.times.plan(call, ctx);
    this.forecaster.recordPool({ target: ctx.target, stage: call.stage }, call.pool.name);
    const now = this.services.clock.monotonic();
    if (now + (plan.medianLatency ?? 0) > plan.stageDeadline && !this.forecaster.shouldProbe()) {
      throw new requestError.RequestError(
        'deadline-unreachable',
        `stage ${call.stage} usually takes longer than the time left: retry with a later deadline`,
        { run: 'not-run', retryAfter: RETRY_AFTER_MS },
      );
    }
    const work = { ...plan.work, begun: this.startedRequests.has(ctx) };
    const permit = await this.services.admission.admit(call.pool, ctx, work);
    this.startedRequests.add(ctx);
    this.retryBudgetOf(call.pool, ctx).earn();
    return permit;
  }

  private recordStage(
    call: entryTypes.IStageCall,
    ctx: entryTypes.IRequestContext,
    arrived: commonTypes.Millis,
  ): void {
    const latency = this.services.clock.monotonic() - arrived;
    this.services.times.recordStage({ target: ctx.target, stage: call.stage }, latency);
  }

  /** Returns the retry budget of a pool and patience; interactive retries cannot use up that of patient work. */
  private retryBudgetOf(
    pool: configTypes.IPool,
    ctx: entryTypes.IRequestContext,
  ): retryBudget.RetryBudget {
    const key = `${ctx.kind.patience} ${pool.name}`;
    const known = this.retryBudgets.get(key);
    if (known) {
      return known;
    }
    const created = new retryBudget.RetryBudget(this.options.retry);
    this.retryBudgets.set(key, created);
    return created;
  }

  private nextCallId(ctx: entryTypes.IRequestContext): string {
    this.callCount += 1;
    return `${ctx.id}.${this.services.callTag}.${this.callCount.toString(36)}`;
  }
}
