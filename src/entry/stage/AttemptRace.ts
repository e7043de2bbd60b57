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

/** Interval at which a crash suspect polls for its reserved endpoint to become idle. */
const EXCLUSIVE_POLL_MS = 10;
/** Retry-after time of a stage that failed. */
const RETRY_AFTER_MS = 1_000;

/** Delay, in median latencies, before a hedge without capacity or retry token is attempted again. */
const HEDGE_RETRY_MEDIANS = 0.5;
const PRIORITY_HEADER = 'x-anvildeck-priority';
/** Priority sent to the inference engines; a higher value runs first. */
const ENGINE_PRIORITIES: Readonly<Record<configTypes.Patience, string>> = {
  interactive: '10',
  patient: '0',
};

/** Services and limits that a race uses. */
export interface IRaceServices extends attempt.IAttemptServices {
  readonly options: decisionOptions.IDecisionOptions;
  readonly metrics: commonServices.IMetricsService;
  readonly picker: entryTypes.IEndpointPicker;
  readonly budget: retryBudget.RetryBudget;
  /** Whether the pool has a free slot and an empty queue. */
  readonly hasSpareCapacity: () => boolean;
  /** Called when an endpoint refuses a call for lack of capacity. */
  readonly onRefused: () => void;
  /** Returns a new unique call id for the request. */
  readonly callId: (ctx: entryTypes.IRequestContext) => string;
}

/** Sends the call of one attempt; rejects with EndpointError. */
export type SendAttempt<T> = (
  endpoint: configTypes.IEndpoint,
  call: entryTypes.IEndpointCall,
  signal: AbortSignal,
) => Promise<T>;

/** The winning attempt and its result. The attempt is still open; the receiver must end it. */
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

/** Runs the attempts of one stage call: the first, retries after failures, one hedge beside a slow attempt. */
export class AttemptRace<T> {
  private readonly running = new Set<attempt.Attempt>();

  private readonly events: RaceEvent<T>[] = [];

  private wakeUp: (() => void) | undefined;

  private launchedCount = 0;

  /** Whether a byte of the call may have reached an endpoint. */
  private maybeSent = false;

  private hasEnded = false;

  private hedgeTimer: commonTypes.IDisposable | undefined;

  private readonly tried: string[];

  /** The race ends at `plan.stageDeadline` at the latest; `tried` names endpoints to avoid. */
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

  /** Resolves with the first successful answer, whose attempt is still open; rejects with RequestError. */
  async run(): Promise<IWinner<T>> {
    const onAbort = (): void => this.pushEvent({ type: 'aborted' });
    this.ctx.signal.addEventListener('abort', onAbort, { once: true });
    const timeLeft = this.plan.stageDeadline - this.now();
    const timer = this.services.clock.setTimer(timeLeft, () =>
      this.pushEvent({ type: 'time-out' }),
    );
    try {
      this.armHedge(this.plan.hedgeAfter);
      await this.launchAttempt(false);
      return await this.awaitWinner();
    } catch (err) {
      this.services.picker.cancelReservation(this.call.pool, this.ctx);
      throw err;
    } finally {
      this.hasEnded = true;
      this.hedgeTimer?.dispose();
      timer.dispose();
      this.ctx.signal.removeEventListener('abort', onAbort);
    }
  }

  private async awaitWinner(): Promise<IWinner<T>> {
    for (;;) {
      const event = await this.nextEvent();
      switch (event.type) {
        case 'answered':
          this.cancelOthers(event.winner.attempt, 'cancelled');
          return event.winner;
        case 'failed':
          await this.handleFailure(event.failed, event.cause);
          break;
        case 'hedge-due':
          await this.launchHedge();
          break;
        case 'time-out':
          throw this.createTimeoutError();
        default:
          throw this.createAbortError();
      }
    }
  }

  private async handleFailure(failed: retryPolicy.IFailedAttempt, cause: unknown): Promise<void> {
    this.maybeSent = this.maybeSent || failed.sent;
    if (this.services.crashes.isQuarantined(this.ctx.fingerprint)) {
      throw this.createError('quarantined', cause);
    }
    if (this.mayRetry(failed)) {
      this.services.metrics.count('retry', { reason: retryPolicy.retryReason(failed.failure) });
      await this.backOff(failed.failure);
      await this.launchAttempt(false);
      return;
    }
    if (this.running.size === 0) {
      throw this.createFailureError(failed, cause);
    }
  }

  private mayRetry(failed: retryPolicy.IFailedAttempt): boolean {
    const permission = retryPolicy.retryPermission(failed);
    if (permission === 'none' || this.launchedCount >= this.services.options.retry.maxAttempts) {
      return false;
    }
    if (this.plan.stageDeadline - this.now() < (this.plan.medianLatency ?? 0)) {
      return false;
    }
    if (this.running.size > 0) {
      // Another attempt is still in flight and takes the place of a retry.
      return false;
    }
    return permission === 'free' || this.services.budget.trySpend();
  }

  /** Backs off after a refusal, since the other endpoints are likely to be at capacity too. */
  private async backOff(failure: entryTypes.EndpointFailure): Promise<void> {
    if (failure === 'endpoint-refused') {
      this.services.onRefused();
      await this.services.clock.sleep(this.services.options.retry.refusedBackoffMs);
    }
  }

  private async launchHedge(): Promise<void> {
    const { retry } = this.services.options;
    const medianLatency = this.plan.medianLatency ?? Infinity;
    const hasTime =
      this.plan.stageDeadline - this.now() > medianLatency &&
      this.launchedCount < retry.maxAttempts;
    if (!hasTime || this.isSuspect()) {
      return;
    }
    if (
      this.running.size === 1 &&
      this.services.hasSpareCapacity() &&
      this.services.budget.trySpend()
    ) {
      this.services.metrics.count('retry', { reason: 'hedge' });
      await this.launchAttempt(true);
      return;
    }
    // No capacity or retry token at present; tries again later.
    this.armHedge(medianLatency * HEDGE_RETRY_MEDIANS);
  }

  private async launchAttempt(hedge: boolean): Promise<void> {
    if (this.ctx.signal.aborted) {
      throw this.createAbortError();
    }
    const choice = this.isSuspect() ? await this.pickExclusive() : this.pick(false);
    if (!choice) {
      if (this.running.size > 0) {
        return;
      }
      throw this.createError('no-endpoint');
    }
    this.launchedCount += 1;
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
      started.watchSlowness(this.plan.slowAfter);
    }
    void this.awaitAnswer(started);
  }

  private pick(exclusive: boolean): entryTypes.IEndpointChoice | undefined {
    const { prefix, pool } = this.call;
    const hints = { tried: this.tried, key: this.plan.key, alone: exclusive };
    return this.services.picker.pick(
      pool,
      this.ctx,
      prefix === undefined ? hints : { ...hints, prefix },
    );
  }

  /** Waits until the reserved endpoint has no other call of this VM in flight. */
  private async pickExclusive(): Promise<entryTypes.IEndpointChoice | undefined> {
    for (;;) {
      const choice = this.pick(true);
      if (choice) {
        return choice;
      }
      if (this.ctx.signal.aborted) {
        throw this.createAbortError();
      }
      if (this.now() + EXCLUSIVE_POLL_MS >= this.plan.stageDeadline) {
        throw this.createTimeoutError();
      }
      await this.services.clock.sleep(EXCLUSIVE_POLL_MS);
    }
  }

  private async awaitAnswer(started: attempt.Attempt): Promise<void> {
    try {
      const result = await this.send(started.endpoint, this.createEndpointCall(), started.signal);
      this.running.delete(started);
      if (this.hasEnded || !started.running) {
        this.services.metrics.count('late_answer', { stage: this.call.stage });
        started.cancel('cancelled');
        return;
      }
      this.pushEvent({ type: 'answered', winner: { attempt: started, result } });
    } catch (err) {
      await this.recordFailure(started, err);
    }
  }

  private async recordFailure(started: attempt.Attempt, err: unknown): Promise<void> {
    const endpointFailure = err instanceof endpointError.EndpointError ? err : undefined;
    const failure = endpointFailure?.failure ?? 'endpoint-error';
    const wasOpen = started.running;
    const crashed = await started.fail(failure);
    this.running.delete(started);
    if (wasOpen) {
      const { repeatable } = this.call;
      const failed = { failure, repeatable, sent: endpointFailure?.sent ?? true, crashed };
      this.pushEvent({ type: 'failed', failed, cause: err });
    }
  }

  private createEndpointCall(): entryTypes.IEndpointCall {
    const { method, path, body, repeatable } = this.call;
    return {
      method,
      path,
      body,
      repeatable,
      callId: this.services.callId(this.ctx),
      headers: {
        ...this.call.headers,
        [PRIORITY_HEADER]: ENGINE_PRIORITIES[this.ctx.kind.patience],
      },
      budget: Math.max(0, this.plan.stageDeadline - this.now()),
      stream: this.stream,
    };
  }

  private armHedge(after: commonTypes.Millis | undefined): void {
    if (this.call.repeatable && after !== undefined) {
      this.hedgeTimer?.dispose();
      this.hedgeTimer = this.services.clock.setTimer(after, () =>
        this.pushEvent({ type: 'hedge-due' }),
      );
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
        this.maybeSent = true;
        other.cancel(failure);
      });
    // Answers that arrived in the same event loop turn as the winner's are discarded too.
    this.events.forEach((event) => {
      if (event.type === 'answered' && event.winner.attempt !== winner) {
        this.services.metrics.count('late_answer', { stage: this.call.stage });
        event.winner.attempt.cancel(failure);
      }
    });
  }

  private createTimeoutError(): requestError.RequestError {
    this.cancelOthers(undefined, 'stage-timeout');
    return this.createError('deadline-exceeded');
  }

  private createAbortError(): requestError.RequestError {
    this.cancelOthers(undefined, 'cancelled');
    const reason: unknown = this.ctx.signal.reason;
    const code =
      reason instanceof requestError.RequestError ? reason.code : ('deadline-exceeded' as const);
    return this.createError(code, reason);
  }

  private createFailureError(
    failed: retryPolicy.IFailedAttempt,
    cause: unknown,
  ): requestError.RequestError {
    if (failed.failure === 'answer-mismatch' && this.call.repeatable) {
      return this.createError('answer-mismatch', cause);
    }
    return this.createError('endpoint-failed', cause);
  }

  private createError(
    code: requestError.RequestError['code'],
    cause?: unknown,
  ): requestError.RequestError {
    const { stage, repeatable } = this.call;
    if (this.maybeSent && !repeatable) {
      const message = `stage ${stage} may have run, outcome unknown: check with the operator`;
      return new requestError.RequestError('outcome-unknown', message, { run: 'unknown', cause });
    }
    const message = `stage ${stage} failed: ${code}`;
    const run = this.maybeSent ? 'run' : 'not-run';
    return new requestError.RequestError(code, message, {
      run,
      cause,
      ...(code === 'quarantined' ? {} : { retryAfter: RETRY_AFTER_MS }),
    });
  }

  private pushEvent(event: RaceEvent<T>): void {
    this.events.push(event);
    this.wakeUp?.();
  }

  private async nextEvent(): Promise<RaceEvent<T>> {
    while (this.events.length === 0) {
      await new Promise<void>((resolve) => {
        this.wakeUp = resolve;
      });
    }
    return this.events.shift() as RaceEvent<T>;
  }

  private now(): commonTypes.Millis {
    return this.services.clock.monotonic();
  }
}
