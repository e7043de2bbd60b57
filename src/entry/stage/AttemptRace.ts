import type * as commonServices from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as requestError from '../../common/RequestError.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as endpointError from '../endpoints/EndpointError.js';
import type * as retryBudget from '../limits/RetryBudget.js';
import type * as entryTypes from '../Types.js';
import * as attempt from './Attempt.js';
import * as retryPolicy from './RetryPolicy.js';
import type * as stageTimes from './StageTimes.js';

/** Pause before looking again for an endpoint that is free for a suspect. */
const ALONE_POLL_MS = 10;
/** When the caller of a stage that found no endpoint may come back. */
const RETRY_AFTER_MS = 1_000;

/** Medians after which a hedge that had no room or token is tried again. */
const HEDGE_AGAIN_MEDIANS = 0.5;
const PRIORITY_HEADER = 'x-anvildeck-priority';
/** Priority at the engines: higher runs first. */
const PRIORITIES: Readonly<Record<configTypes.Patience, string>> = {
  interactive: '10',
  patient: '0',
};

/** What a race works with. */
export interface IRaceServices extends attempt.IAttemptServices {
  readonly options: decisionOptions.IDecisionOptions;
  readonly metrics: commonServices.IMetricsService;
  readonly picker: entryTypes.IEndpointPicker;
  readonly budget: retryBudget.RetryBudget;
  /** Whether the pool has a place that nobody waits for. */
  readonly hasSpareCapacity: () => boolean;
  /** An endpoint had no room. */
  readonly onRefused: () => void;
  /** A fresh id of a call of this request. */
  readonly callId: (ctx: entryTypes.IRequestContext) => string;
}

/** Sends one attempt. */
export type SendAttempt<T> = (
  endpoint: configTypes.IEndpoint,
  call: entryTypes.IEndpointCall,
  signal: AbortSignal,
) => Promise<T>;

/** The attempt that won, still open: its owner ends it. */
export interface IWinner<T> {
  readonly attempt: attempt.Attempt;
  readonly result: T;
}

type RaceEvent<T> =
  | { readonly type: 'answered'; readonly winner: IWinner<T> }
  | {
      readonly type: 'failed';
      readonly failed: retryPolicy.IFailedAttempt;
      readonly cause: unknown;
    }
  | { readonly type: 'hedge-due' }
  | { readonly type: 'time-out' }
  | { readonly type: 'aborted' };

/** The attempts of one stage of one request: one first, retries after failures, one hedge beside a slow one. */
export class AttemptRace<T> {
  private readonly running = new Set<attempt.Attempt>();

  private readonly events: RaceEvent<T>[] = [];

  private wake: (() => void) | undefined;

  private launched = 0;

  /** Whether a byte of the call may have reached an endpoint. */
  private sent = false;

  private over = false;

  private hedgeTimer: commonTypes.IDisposable | undefined;

  private readonly tried: string[];

  /** Runs until `plan.end`; `tried` names endpoints to avoid. */
  constructor(
    private readonly services: IRaceServices,
    private readonly call: entryTypes.IStageCall,
    private readonly ctx: entryTypes.IRequestContext,
    private readonly plan: stageTimes.IStagePlan,
    private readonly stream: boolean,
    private readonly send: SendAttempt<T>,
    tried: readonly string[] = [],
  ) {
    this.tried = [...tried];
  }

  /** The first good answer, its attempt still open; rejects with RequestError. */
  async run(): Promise<IWinner<T>> {
    const onAbort = (): void => this.push({ type: 'aborted' });
    this.ctx.signal.addEventListener('abort', onAbort, { once: true });
    const timeLeft = this.plan.stageDeadline - this.now();
    const timeOut = this.services.clock.setTimer(timeLeft, () => this.push({ type: 'time-out' }));
    try {
      this.armHedge(this.plan.hedgeAfter);
      await this.launch(false);
      return await this.decide();
    } catch (err) {
      this.services.picker.cancelReservation(this.call.pool, this.ctx);
      throw err;
    } finally {
      this.over = true;
      this.hedgeTimer?.dispose();
      timeOut.dispose();
      this.ctx.signal.removeEventListener('abort', onAbort);
    }
  }

  private async decide(): Promise<IWinner<T>> {
    for (;;) {
      const event = await this.next();
      switch (event.type) {
        case 'answered':
          this.cancelOthers(event.winner.attempt, 'cancelled');
          return event.winner;
        case 'failed':
          await this.afterFailure(event.failed, event.cause);
          break;
        case 'hedge-due':
          await this.hedge();
          break;
        case 'time-out':
          throw this.timeOut();
        default:
          throw this.aborted();
      }
    }
  }

  private async afterFailure(failed: retryPolicy.IFailedAttempt, cause: unknown): Promise<void> {
    this.sent = this.sent || failed.sent;
    if (this.services.crashes.isQuarantined(this.ctx.fingerprint)) {
      throw this.failure('quarantined', cause);
    }
    if (this.mayRetry(failed)) {
      this.services.metrics.count('retry', { reason: retryPolicy.retryReason(failed.failure) });
      await this.backOff(failed.failure);
      await this.launch(false);
      return;
    }
    if (this.running.size === 0) {
      throw this.failureOf(failed, cause);
    }
  }

  private mayRetry(failed: retryPolicy.IFailedAttempt): boolean {
    const leave = retryPolicy.retryPermission(failed);
    if (leave === 'none' || this.launched >= this.services.options.retry.maxAttempts) {
      return false;
    }
    if (this.plan.stageDeadline - this.now() < (this.plan.medianLatency ?? 0)) {
      return false;
    }
    if (this.running.size > 0) {
      // A hedge is under way: it is the retry.
      return false;
    }
    return leave === 'free' || this.services.budget.trySpend();
  }

  /** Refused by an endpoint: the others are likely to be as full. */
  private async backOff(failure: entryTypes.EndpointFailure): Promise<void> {
    if (failure === 'endpoint-refused') {
      this.services.onRefused();
      await this.services.clock.sleep(this.services.options.retry.refusedBackoffMs);
    }
  }

  private async hedge(): Promise<void> {
    const { retry } = this.services.options;
    const usual = this.plan.medianLatency ?? Infinity;
    const fits = this.plan.stageDeadline - this.now() > usual && this.launched < retry.maxAttempts;
    if (!fits || this.isSuspect()) {
      return;
    }
    if (
      this.running.size === 1 &&
      this.services.hasSpareCapacity() &&
      this.services.budget.trySpend()
    ) {
      this.services.metrics.count('retry', { reason: 'hedge' });
      await this.launch(true);
      return;
    }
    // No room or token now: there may be later.
    this.armHedge(usual * HEDGE_AGAIN_MEDIANS);
  }

  private async launch(hedge: boolean): Promise<void> {
    if (this.ctx.signal.aborted) {
      throw this.aborted();
    }
    const choice = this.isSuspect() ? await this.pickAlone() : this.pick(false);
    if (!choice) {
      if (this.running.size > 0) {
        return;
      }
      throw this.failure('no-endpoint');
    }
    this.launched += 1;
    this.tried.push(choice.endpoint.name);
    const started = new attempt.Attempt(
      this.services,
      this.call,
      this.ctx,
      this.plan.key,
      choice,
      hedge,
    );
    this.running.add(started);
    if (this.plan.slowAfter !== undefined) {
      started.watch(this.plan.slowAfter);
    }
    void this.follow(started);
  }

  private pick(alone: boolean): entryTypes.IEndpointChoice | undefined {
    const { prefix, pool } = this.call;
    const hints = { tried: this.tried, key: this.plan.key, alone };
    return this.services.picker.pick(
      pool,
      this.ctx,
      prefix === undefined ? hints : { ...hints, prefix },
    );
  }

  /** Waits until an endpoint is free of our other work. */
  private async pickAlone(): Promise<entryTypes.IEndpointChoice | undefined> {
    for (;;) {
      const choice = this.pick(true);
      if (choice) {
        return choice;
      }
      if (this.ctx.signal.aborted) {
        throw this.aborted();
      }
      if (this.now() + ALONE_POLL_MS >= this.plan.stageDeadline) {
        throw this.timeOut();
      }
      await this.services.clock.sleep(ALONE_POLL_MS);
    }
  }

  private async follow(started: attempt.Attempt): Promise<void> {
    try {
      const result = await this.send(started.endpoint, this.endpointCall(), started.signal);
      this.running.delete(started);
      if (this.over || !started.running) {
        this.services.metrics.count('late_answer', { stage: this.call.stage });
        started.cancel('cancelled');
        return;
      }
      this.push({ type: 'answered', winner: { attempt: started, result } });
    } catch (err) {
      await this.failed(started, err);
    }
  }

  private async failed(started: attempt.Attempt, err: unknown): Promise<void> {
    const known = err instanceof endpointError.EndpointError ? err : undefined;
    const failure = known?.failure ?? 'endpoint-error';
    const open = started.running;
    const crashed = await started.fail(failure);
    this.running.delete(started);
    if (open) {
      const { repeatable } = this.call;
      const failed = { failure, repeatable, sent: known?.sent ?? true, crashed };
      this.push({ type: 'failed', failed, cause: err });
    }
  }

  private endpointCall(): entryTypes.IEndpointCall {
    const { method, path, body, repeatable } = this.call;
    return {
      method,
      path,
      body,
      repeatable,
      callId: this.services.callId(this.ctx),
      headers: { ...this.call.headers, [PRIORITY_HEADER]: PRIORITIES[this.ctx.kind.patience] },
      budget: Math.max(0, this.plan.stageDeadline - this.now()),
      stream: this.stream,
    };
  }

  private armHedge(after: commonTypes.Millis | undefined): void {
    if (this.call.repeatable && after !== undefined) {
      this.hedgeTimer?.dispose();
      this.hedgeTimer = this.services.clock.setTimer(after, () => this.push({ type: 'hedge-due' }));
    }
  }

  private isSuspect(): boolean {
    return this.services.crashes.isSuspect(this.ctx.fingerprint);
  }

  private cancelOthers(
    winner: attempt.Attempt | undefined,
    failure: 'cancelled' | 'stage-timeout',
  ): void {
    [...this.running]
      .filter((other) => other !== winner)
      .forEach((other) => {
        this.sent = true;
        other.cancel(failure);
      });
    // An answer that came in the same turn as the winner's is dropped too.
    this.events.forEach((event) => {
      if (event.type === 'answered' && event.winner.attempt !== winner) {
        this.services.metrics.count('late_answer', { stage: this.call.stage });
        event.winner.attempt.cancel(failure);
      }
    });
  }

  private timeOut(): requestError.RequestError {
    this.cancelOthers(undefined, 'stage-timeout');
    return this.failure('deadline-exceeded');
  }

  private aborted(): requestError.RequestError {
    this.cancelOthers(undefined, 'cancelled');
    const reason: unknown = this.ctx.signal.reason;
    const code =
      reason instanceof requestError.RequestError ? reason.code : ('deadline-exceeded' as const);
    return this.failure(code, reason);
  }

  private failureOf(failed: retryPolicy.IFailedAttempt, cause: unknown): requestError.RequestError {
    if (failed.failure === 'answer-mismatch' && this.call.repeatable) {
      return this.failure('answer-mismatch', cause);
    }
    return this.failure('endpoint-failed', cause);
  }

  private failure(
    code: requestError.RequestError['code'],
    cause?: unknown,
  ): requestError.RequestError {
    const { stage, repeatable } = this.call;
    if (this.sent && !repeatable) {
      const message = `stage ${stage} may have run: ask the operator what became of it`;
      return new requestError.RequestError('outcome-unknown', message, { run: 'unknown', cause });
    }
    const message = `stage ${stage} got no answer: ${code}`;
    const run = this.sent ? 'run' : 'not-run';
    return new requestError.RequestError(code, message, {
      run,
      cause,
      ...(code === 'quarantined' ? {} : { retryAfter: RETRY_AFTER_MS }),
    });
  }

  private push(event: RaceEvent<T>): void {
    this.events.push(event);
    this.wake?.();
  }

  private async next(): Promise<RaceEvent<T>> {
    while (this.events.length === 0) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    return this.events.shift() as RaceEvent<T>;
  }

  private now(): commonTypes.Millis {
    return this.services.clock.monotonic();
  }
}
