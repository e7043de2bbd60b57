import type * as crashAttribution from '../blame/CrashAttribution.js';
import type * as blame from '../blame/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as responseEnd from '../common/wire/ResponseEnd.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as endpointRooms from '../room/EndpointRooms.js';
import type * as room from '../room/Types.js';
import type * as routing from '../routing/Types.js';
import * as answerBody from './AnswerBody.js';
import * as plainQuarantine from './PlainQuarantine.js';
import type * as requestScope from './RequestScope.js';
import type * as serviceBalancer from './ServiceBalancer.js';
import * as types from './Types.js';

/** Attempts for one request, including those that an endpoint rejected. */
const MAX_ATTEMPTS = 3;
/**
 * A hedged attempt starts after this fraction of the route's latency goal, or after HEDGE_LATENCY_FACTOR times the
 * service's median latency, whichever is longer.
 */
const HEDGE_GOAL_RATIO = 0.5;
/** See HEDGE_GOAL_RATIO. */
const HEDGE_LATENCY_FACTOR = 2.5;
/** Part of what is left of the latency goal for which a request waits for room at a brittle endpoint. */
const ROOM_WAIT_GOAL_RATIO = 0.5;
/** Value of Retry-After in the response to a rejected request. */
const RETRY_AFTER_MS = 200;

/** How the end of a call reflects on the room that it took. */
const ROOM_OUTCOMES = {
  ok: 'served',
  error: 'served',
  lost: 'lost',
  refused: 'rejected',
  limited: 'served',
  cancelled: 'cancelled',
} as const;

/** Collaborators of a PlainRequestHandler. */
export interface IPlainRequestDependencies extends types.IRequestHandlerDependencies {
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly permits: rateLimits.IPermitService;
  readonly rooms: endpointRooms.EndpointRooms;
  readonly quarantine: plainQuarantine.PlainQuarantine;
}

/** A response that was received completely. */
interface ICompleteAnswer {
  readonly answer: types.IEndpointAnswer;
  readonly body: Buffer;
}

/** Outcome of an attempt. */
type Outcome =
  /** A complete response, of any status. */
  | { readonly kind: 'whole'; readonly complete: ICompleteAnswer }
  /** The endpoint did not execute the request, or no endpoint is left. */
  | { readonly kind: 'not-run' }
  /** All endpoints are brittle and have no room for the request in time. */
  | { readonly kind: 'no-room'; readonly retryAfter: commonTypes.Millis }
  /** No complete response; `sent` is false if no byte of the request left this VM. */
  | { readonly kind: 'lost'; readonly sent: boolean }
  /** The request ended during the attempt. */
  | { readonly kind: 'over' };

/**
 * Handles one request to a plain service. Requests of unsafe routes are executed at most once. Requests of safe routes
 * are retried after failures, and hedged: if an attempt is slow, a second one starts on another endpoint and the first
 * successful response is used. The retry budget limits both.
 */
export class PlainRequestHandler {
  /** Ids of the endpoints to which an attempt was made; each endpoint gets at most one. */
  private readonly triedEndpoints: string[] = [];

  /** Attempts in which the request was executed or may have been. */
  private executions = 0;

  /** Last server error of an endpoint (status 500 or above); returned to the caller if no attempt succeeds. */
  private lastError: ICompleteAnswer | undefined;

  private readonly traits: blame.IRequestTraits;

  /** Handles the request of `scope`. */
  constructor(
    private readonly scope: requestScope.RequestScope,
    private readonly deps: IPlainRequestDependencies,
  ) {
    this.traits = plainQuarantine.PlainQuarantine.traitsOf(scope);
  }

  /** Makes attempts until the caller has a response or the request ends. */
  async run(): Promise<void> {
    const { scope, deps } = this;
    deps.budget.recordRequest();
    const refusal = await deps.quarantine.admit(this.traits);
    if (refusal !== undefined && !scope.isFinished) {
      this.rejectQuarantined(refusal);
    }
    while (!scope.isFinished) {
      const outcome = await this.attemptWithHedge();
      if (scope.isFinished || outcome.kind === 'over') {
        return;
      }
      if (outcome.kind === 'whole' && !this.isRetryable(outcome.complete)) {
        this.answer(outcome.complete);
        return;
      }
      if (outcome.kind === 'whole') {
        this.lastError = outcome.complete;
      }
      if (!this.mayRetry(outcome)) {
        this.giveUp(outcome);
        return;
      }
      deps.metrics.count('retry', { reason: outcome.kind });
    }
  }

  private get isSafe(): boolean {
    return this.scope.route.kind === 'safe';
  }

  private isRetryable({ answer }: ICompleteAnswer): boolean {
    return this.isSafe && answer.status >= 500 && this.executions < this.scope.route.maxExecutions;
  }

  private mayRetry(outcome: Outcome): boolean {
    const { scope, deps } = this;
    if (scope.attemptCount >= MAX_ATTEMPTS || !this.hasUntriedEndpoint() || this.isQuarantined) {
      return false;
    }
    if (outcome.kind === 'no-room') {
      return false;
    }
    const notExecuted = outcome.kind === 'not-run' || (outcome.kind === 'lost' && !outcome.sent);
    const mayExecute = notExecuted || (this.isSafe && this.executions < scope.route.maxExecutions);
    // A retry after an attempt that never left this VM does not draw on the budget.
    const usesBudget = outcome.kind !== 'lost' || outcome.sent;
    return mayExecute && (!usesBudget || deps.budget.take());
  }

  private get isQuarantined(): boolean {
    return this.deps.quarantine.refusalOf(this.traits) !== undefined;
  }

  private hasUntriedEndpoint(allowsLimited = true): boolean {
    const { scope, deps, triedEndpoints: excluded } = this;
    return deps.balancer.choose(scope.service, { excluded, allowsLimited }) !== undefined;
  }

  private answer({ answer, body }: ICompleteAnswer): void {
    const { scope } = this;
    if (answer.looksNotRun && !this.isSafe) {
      // The caller would send the request again, which may have run.
      this.deps.metrics.count('refused', { reason: 'endpoint-failed' });
      scope.responder.reject('endpoint-failed');
    } else {
      scope.responder.answer(answer, body);
    }
    this.log('answered', { status: answer.status });
    scope.finish();
  }

  private giveUp(outcome: Outcome): void {
    const { scope } = this;
    if (this.lastError !== undefined) {
      this.answer(this.lastError);
      return;
    }
    const refusal = this.deps.quarantine.refusalOf(this.traits);
    if (refusal !== undefined) {
      this.rejectQuarantined(refusal);
      return;
    }
    const isOutOfService = this.deps.balancer.isOutOfService(scope.service);
    const notRun = isOutOfService ? 'no-endpoint' : 'overloaded';
    const rejection = scope.isNotRun ? notRun : 'endpoint-failed';
    const limitDelay = this.deps.balancer.limitDelay(scope.service);
    const roomDelay = outcome.kind === 'no-room' ? outcome.retryAfter : 0;
    const zoneDelay = isOutOfService ? types.OUT_OF_SERVICE_RETRY_AFTER_MS : 0;
    const retryAfter = Math.max(RETRY_AFTER_MS, limitDelay, roomDelay, zoneDelay);
    this.log('rejected', { rejection, last: outcome.kind, limitDelay: Math.round(limitDelay) });
    this.deps.metrics.count('refused', { reason: rejection });
    scope.responder.reject(rejection, retryAfter);
    scope.finish();
  }

  /** Rejects a request that has crashed endpoints; says `endpoint-failed` if this one may have run. */
  private rejectQuarantined({ trait, retryAfter }: blame.IQuarantineRefusal): void {
    const { scope } = this;
    const rejection = scope.isNotRun ? 'quarantined' : 'endpoint-failed';
    this.log('rejected', { rejection, trait, retryAfter: Math.round(retryAfter) });
    this.deps.metrics.count('refused', { reason: 'quarantined' });
    scope.responder.reject(rejection, retryAfter);
    scope.finish();
  }

  /** Makes an attempt; on safe routes starts a hedged one if it is slow and the budget allows. */
  private async attemptWithHedge(): Promise<Outcome> {
    const { scope, deps } = this;
    const first = this.attempt();
    if (!this.isSafe || this.executions >= scope.route.maxExecutions) {
      return first;
    }
    const medianLatency = deps.balancer.medianLatency(scope.service);
    const delay = Math.max(
      scope.route.latencyGoal * HEDGE_GOAL_RATIO,
      medianLatency * HEDGE_LATENCY_FACTOR,
    );
    const isSlow = await this.isSlower(first, delay);
    const mayHedge = isSlow && !scope.isFinished && this.executions < scope.route.maxExecutions;
    const canHedge =
      mayHedge &&
      this.hasUntriedEndpoint(false) &&
      !this.isQuarantined &&
      !deps.rooms.isBrittle(scope.service);
    if (!canHedge || !deps.budget.take()) {
      return first;
    }
    this.log('hedged', { delay: Math.round(delay) });
    deps.metrics.count('retry', { reason: 'hedged' });
    return PlainRequestHandler.firstSuccess(first, this.attempt(false));
  }

  /** Whether `first` is still unsettled after `delay`. The calling method handles a rejection of `first`. */
  private async isSlower(first: Promise<Outcome>, delay: commonTypes.Millis): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this.deps.clock.setTimer(delay, () => resolve(true));
      const settle = (): void => {
        timer.dispose();
        resolve(false);
      };
      first.then(settle, settle);
    });
  }

  /**
   * Resolves with the first response below status 500 of two attempts, else with the outcome of the later one; rejects
   * with the first unexpected error.
   */
  private static firstSuccess(first: Promise<Outcome>, second: Promise<Outcome>): Promise<Outcome> {
    return new Promise((resolve, reject) => {
      let pending = 2;
      [first, second].forEach((attempt) => {
        attempt.then((outcome) => {
          pending -= 1;
          const isSuccess = outcome.kind === 'whole' && outcome.complete.answer.status < 500;
          if (isSuccess || pending === 0) {
            resolve(outcome);
          }
        }, reject);
      });
    });
  }

  /**
   * Chooses an endpoint that its rate limit allows, and sends the request there. `isFirst` is false for a hedged attempt,
   * which leaves limited endpoints, and room for which others wait, to first ones.
   */
  private attempt(isFirst = true, refused: readonly string[] = []): Promise<Outcome> {
    const { scope, deps, triedEndpoints } = this;
    const excluded = [...triedEndpoints, ...refused];
    return deps.rooms.isBrittle(scope.service)
      ? this.attemptWithRoom(isFirst, excluded)
      : this.attemptAt(isFirst, refused, excluded);
  }

  /** Waits for room at an endpoint that falls over if it has to reject requests, and sends the request there. */
  private async attemptWithRoom(isFirst: boolean, excluded: readonly string[]): Promise<Outcome> {
    const { scope, deps } = this;
    const granted = await deps.rooms.acquire({
      service: scope.service,
      excluded,
      maxWait: isFirst ? this.maxRoomWait : 0,
      timeLeft: scope.timeLeft,
      priority: scope.priority,
    });
    if (!('endpoint' in granted)) {
      return scope.isFinished ? { kind: 'over' } : { kind: 'no-room', ...granted };
    }
    const { endpoint } = granted;
    const isAllowed = !scope.isFinished && (await deps.permits.acquire(endpoint.id));
    if (scope.isFinished || !isAllowed) {
      granted.release('cancelled');
      return scope.isFinished ? { kind: 'over' } : { kind: 'not-run' };
    }
    return this.sendTo(endpoint, granted).catch((err: Error) => {
      granted.release('cancelled');
      throw err;
    });
  }

  /** Longest wait for room; a caller who is refused then has time to come back. */
  private get maxRoomWait(): commonTypes.Millis {
    const { scope } = this;
    const goalLeft = scope.route.latencyGoal - scope.age;
    return Math.max(0, Math.min(goalLeft, scope.timeLeft) * ROOM_WAIT_GOAL_RATIO);
  }

  private attemptAt(
    allowsLimited: boolean,
    refused: readonly string[],
    excluded: readonly string[],
  ): Promise<Outcome> {
    const { scope, deps } = this;
    const endpoint = deps.balancer.choose(scope.service, { excluded, allowsLimited });
    if (endpoint === undefined) {
      return Promise.resolve({ kind: 'not-run' });
    }
    const permit = deps.permits.acquire(endpoint.id);
    if (permit === true) {
      return this.sendTo(endpoint);
    }
    return Promise.resolve(permit).then((isGranted) => {
      if (scope.isFinished) {
        return { kind: 'over' };
      }
      if (isGranted && deps.caller.isOpen(endpoint)) {
        return this.sendTo(endpoint);
      }
      const delay = Math.round(deps.permits.delayOf(endpoint.id));
      this.log('endpoint-at-limit', { endpoint: endpoint.id, delay });
      return this.attempt(allowsLimited, [...refused, endpoint.id]);
    });
  }

  /** Sends the request to one endpoint and reads its response. */
  private async sendTo(endpoint: routing.IEndpoint, granted?: room.IRoom): Promise<Outcome> {
    const { scope, deps } = this;
    const started = deps.clock.monotonic();
    // Before the attempt is counted, because `send` throws if the request cannot be encoded.
    const call = deps.caller.send(this.buildCall(endpoint));
    this.triedEndpoints.push(endpoint.id);
    scope.attemptCount += 1;
    scope.attemptsInFlight += 1;
    this.executions += 1;
    deps.balancer.recordStart(endpoint.id);
    const attemptId = `${scope.request.id}#${scope.attemptCount}`;
    deps.quarantine.recordPlaced(attemptId, endpoint, this.traits);
    let cancelled = false;
    const unregister = scope.onFinish(() => {
      cancelled = true;
      call.cancel();
    });
    let isHeldBack = false;
    const subscription = deps.quarantine.onVerdict(() => {
      // An unsafe request may be running, and its caller must learn the outcome.
      if (this.isSafe && !isHeldBack && this.isQuarantined) {
        isHeldBack = true;
        call.cancel();
      }
    });
    let load: types.IEndpointLoad | undefined;
    let bodyEnd: responseEnd.EndKind | undefined;
    const recordEnd = (
      outcome: serviceBalancer.CallOutcome,
      attemptEnd: crashAttribution.AttemptEnd,
      reason?: string,
    ): void => {
      unregister();
      subscription.dispose();
      scope.attemptsInFlight -= 1;
      const took = deps.clock.monotonic() - started;
      const isCancelled = cancelled || isHeldBack;
      const end = isCancelled ? 'cancelled' : outcome;
      deps.quarantine.recordEnded(attemptId, isCancelled ? 'left' : attemptEnd);
      deps.balancer.recordEnd(endpoint.id, end, took, load);
      granted?.release(ROOM_OUTCOMES[end]);
      const fields = { endpoint: endpoint.id, end, took: Math.round(took), reason, bodyEnd };
      this.log('sending-ended', fields);
      if (end === 'lost') {
        deps.metrics.count('answer_lost', { kind: 'plain' });
      }
    };
    try {
      const answer = await call.answer;
      load = answer.load;
      if (answer.isNotRun) {
        this.executions -= 1;
        void this.drainRejection(answer, call, endpoint.id);
        recordEnd(answer.namesRateLimit ? 'limited' : 'refused', 'not-run');
        return { kind: 'not-run' };
      }
      scope.mayHaveRun = true;
      if (answer.isGenuine && answer.status < 500) {
        deps.quarantine.recordStarted(attemptId);
      }
      const result = await this.readAnswer(answer);
      bodyEnd = answerBody.recordBodyEnd(deps.metrics, 'plain', answer);
      if ('fault' in result) {
        call.cancel();
        recordEnd('lost', 'broken', result.fault);
        return { kind: 'lost', sent: true };
      }
      recordEnd(answer.status >= 500 ? 'error' : 'ok', 'whole');
      return { kind: 'whole', complete: { answer, body: result.body } };
    } catch (err) {
      if (!(err instanceof types.EndpointCallError)) {
        throw err;
      }
      if (err.sent) {
        scope.mayHaveRun = true;
      } else {
        this.executions -= 1;
      }
      recordEnd('lost', err.sent ? 'broken' : 'not-run', err.message);
      return cancelled ? { kind: 'over' } : { kind: 'lost', sent: err.sent };
    }
  }

  private buildCall(endpoint: routing.IEndpoint): types.IEndpointCall {
    const { scope, deps } = this;
    return {
      request: scope.request,
      endpoint,
      timeLeft: scope.timeLeft,
      workspace: scope.workspace?.name,
      enginePriority: undefined,
      inputs: [],
      lastEventId: undefined,
      maxConnections: deps.maxConnections(scope.service),
      isRepeatable: this.isSafe,
    };
  }

  private async readAnswer(answer: types.IEndpointAnswer): Promise<answerBody.BodyResult> {
    if (!answer.isGenuine) {
      return { fault: 'not an answer to this request' };
    }
    return answerBody.readBody(
      answer.body,
      () => answer.isComplete(),
      answerBody.MAX_BODY_BYTES,
      this.deps.memory,
    );
  }

  /** Reads the body of a rejection; ends the call if the body does not end. */
  private async drainRejection(
    answer: types.IEndpointAnswer,
    call: types.IStartedCall,
    endpointId: string,
  ): Promise<void> {
    const reason = await answerBody.drainRejection(answer, this.deps.clock);
    if (reason !== undefined) {
      call.cancel();
      this.log('rejection-cut', { endpoint: endpointId, reason });
      this.deps.metrics.count('answer_lost', { kind: 'rejection' });
    }
  }

  private log(event: string, fields: commonServices.LogFields): void {
    const { request, route, service, attemptCount } = this.scope;
    const age = Math.round(this.scope.age);
    const common = { request: request.id, route: route.name, service, sendings: attemptCount, age };
    this.deps.logService.info(event, { ...common, ...fields });
  }
}
