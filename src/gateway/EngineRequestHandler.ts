import type * as blameTable from '../blame/BlameTable.js';
import * as blameTraits from '../blame/Traits.js';
import type * as blame from '../blame/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as streamVersions from '../coordination/StreamVersions.js';
import type * as coordination from '../coordination/Types.js';
import type * as endpointRooms from '../room/EndpointRooms.js';
import type * as routing from '../routing/Types.js';
import * as answerBody from './AnswerBody.js';
import type * as engineCall from './EngineCall.js';
import * as engineCalls from './EngineCalls.js';
import * as eventPace from './EventPace.js';
import * as eventRelay from './EventRelay.js';
import type * as requestScope from './RequestScope.js';
import * as types from './Types.js';

/** Maximum number of plans for one request; after it, a lost plan is not replaced. */
const MAX_PLANS = 6;
/** Delay before a lost plan is replaced; also the Retry-After value when no further attempt is allowed. */
const REPLAN_DELAY_MS = 60;
/** Lowest priority level of a model engine; 0 is the most urgent. */
const MAX_ENGINE_PRIORITY = 9;
/** Engine priority levels per priority level of a route or workspace. */
const ENGINE_PRIORITY_STEP = 2;
/** Remaining time sent to the planner once the latency goal is missed; such a request is judged by its deadline. */
const MIN_GOAL_LEFT_MS = 1;

/** Collaborators of an EngineRequestHandler. */
export interface IEngineRequestDependencies extends types.IRequestHandlerDependencies {
  readonly planner: coordination.IPlanner;
  readonly rooms: endpointRooms.EndpointRooms;
  readonly blameTable: blameTable.BlameTable;
  readonly streams: streamVersions.StreamVersions;
}

/** Outcome of an attempt. */
type AttemptOutcome =
  /** The request has ended: the response is complete, or the caller or the deadline ended it. */
  | { readonly kind: 'done' }
  /**
   * The engine did not execute the request; `inputsLost` if it reports that stage results are missing, `isHealthy` if
   * this says nothing about its health: it names a rate limit, or this VM has lost its path to it.
   */
  | { readonly kind: 'not-run'; readonly inputsLost: boolean; readonly isHealthy: boolean }
  /** The response is truncated or not authentic, or does not go on with the stream that had started. */
  | { readonly kind: 'cut'; readonly reason: string }
  /** The request was sent, at least in part, but no response arrived. */
  | { readonly kind: 'lost' }
  /** The attempt was cancelled because a trait of the request was quarantined meanwhile. */
  | { readonly kind: 'quarantined' };

/** A plan whose stages are complete and that has an engine. */
type ReadyPlan = coordination.PlanOutcome & { readonly kind: 'ready' };

/** An attempt that has ended, and its engine. */
interface IEndedAttempt {
  readonly endpoint: routing.IEndpoint;
  readonly attempt: AttemptOutcome;
}

/**
 * Handles one request to a model engine. The planner runs the stages of the request and chooses an engine; the response
 * of the engine is then relayed to the caller. A stream that breaks is resumed on another engine if the route allows.
 */
export class EngineRequestHandler {
  private readonly relay: eventRelay.EventRelay;

  private planCount = 0;

  /** Id of the current plan: the request's id and the number of the plan. */
  private planId = '';

  /** Whether the stage results of the current plan were released, because an engine started to respond. */
  private inputsReleased = false;

  private readonly calls: engineCalls.EngineCalls;

  /** Response whose head was sent to the caller. */
  private begun: types.IEndpointAnswer | undefined;

  /** Identifies the request and its resends. */
  private readonly fingerprint: string;

  private readonly traits: blame.IRequestTraits;

  /** Id of the request that began the stream; empty if the caller names none, undefined if this request begins it. */
  private readonly continuedId: string | undefined;

  /** Software version that began the stream; undefined before the first event, or if this VM does not know it. */
  private version: string | undefined;

  /** Handles the request of `scope`; `run` starts it. */
  constructor(
    private readonly scope: requestScope.RequestScope,
    private readonly deps: IEngineRequestDependencies,
  ) {
    const { request, service, workspace } = scope;
    this.relay = new eventRelay.EventRelay(scope, deps.memory.budget);
    this.calls = new engineCalls.EngineCalls(scope, deps, {
      buildCall: (endpoint, inputs) => this.buildCall(endpoint, inputs),
      mayStillHedge: () =>
        !scope.responseStarted && !this.relay.hasForwarded && this.quarantineRefusal === undefined,
      log: (event, fields) => this.log(event, fields),
    });
    this.fingerprint = blameTraits.fingerprintOf({ ...request, workspace: workspace?.name });
    this.traits = blameTraits.traitsOf(service, this.fingerprint, request.prompt);
    this.continuedId = request.continuedId ?? (request.lastEventId ? '' : undefined);
  }

  /** Plans and makes attempts until the caller has a response or the request ends. */
  async run(): Promise<void> {
    const { scope, deps } = this;
    deps.budget.recordRequest();
    const unregister = scope.onFinish(() => deps.planner.cancel(this.planId));
    let avoid: readonly string[] = [];
    let outcome = this.quarantineRefusal ?? (await this.plan(avoid));
    while (!scope.isFinished) {
      outcome = this.quarantineRefusal ?? outcome;
      if (outcome.kind === 'refused') {
        const mayReplan = await this.mayReplan(outcome);
        if (scope.isFinished) {
          return;
        }
        if (!mayReplan) {
          this.rejectRefused(outcome);
          return;
        }
        outcome = await this.plan(avoid);
        continue;
      }
      if (!deps.caller.isOpen(outcome.endpoint)) {
        avoid = [...avoid, outcome.endpoint.id];
        outcome = await this.replaceClosed(outcome.endpoint);
        continue;
      }
      const { endpoint, attempt } = await this.attempt(outcome);
      if (scope.isFinished || attempt.kind === 'done') {
        unregister();
        return;
      }
      if (attempt.kind === 'quarantined') {
        continue;
      }
      avoid = [...avoid, outcome.endpoint.id, endpoint.id];
      const isBlamed = await this.isBlamed(attempt, endpoint);
      if (scope.isFinished) {
        return;
      }
      if (!this.mayRetry(attempt)) {
        deps.planner.markEnded(this.planId, isBlamed ? endpoint.id : undefined);
        this.fail(attempt);
        return;
      }
      deps.metrics.count('retry', { reason: attempt.kind });
      outcome = await this.chooseNextEngine(attempt, endpoint, avoid, isBlamed);
    }
  }

  /** Refusal of the request while one of its traits is quarantined. */
  private get quarantineRefusal(): coordination.IPlanRefused | undefined {
    const refusal = this.deps.blameTable.refusalOf(this.traits);
    return refusal && { kind: 'refused', reason: 'quarantined', retryAfter: refusal.retryAfter };
  }

  /**
   * Whether a failed attempt is held against its engine, for all VMs; not if this VM has lost its path to the engine.
   */
  private async isBlamed(attempt: AttemptOutcome, endpoint: routing.IEndpoint): Promise<boolean> {
    const isBroken = attempt.kind === 'lost' || attempt.kind === 'cut';
    return isBroken && !(await this.deps.caller.hasLostPath(endpoint));
  }

  /** Chooses another engine, because the planned one takes no new requests any more. */
  private replaceClosed(endpoint: routing.IEndpoint): Promise<coordination.PlanOutcome> {
    this.deps.metrics.count('retry', { reason: 'closed' });
    this.log('engine-closed', { endpoint: endpoint.id, zone: endpoint.availabilityZone });
    return this.deps.planner.reassign(this.planId, endpoint.id, 'limited');
  }

  /**
   * Chooses an engine for the next attempt: under the current plan if its stage results are kept, else by a new plan.
   */
  private chooseNextEngine(
    attempt: AttemptOutcome,
    endpoint: routing.IEndpoint,
    avoid: readonly string[],
    isBlamed: boolean,
  ): Promise<coordination.PlanOutcome> {
    const inputsLost = attempt.kind === 'not-run' && attempt.inputsLost;
    if (!inputsLost && !this.inputsReleased) {
      const isHealthy = attempt.kind !== 'not-run' || attempt.isHealthy;
      const notBroken = isHealthy ? 'limited' : 'not-run';
      return this.deps.planner.reassign(this.planId, endpoint.id, isBlamed ? 'broken' : notBroken);
    }
    this.deps.planner.markEnded(this.planId, isBlamed ? endpoint.id : undefined);
    return this.plan(avoid);
  }

  /** Requests a new plan, which replaces the current one and does not use the engines in `avoid`. */
  private plan(avoid: readonly string[]): Promise<coordination.PlanOutcome> {
    const { scope, deps } = this;
    const { request, route } = scope;
    const replaces = this.planCount === 0 ? undefined : this.planId;
    this.planCount += 1;
    this.inputsReleased = false;
    this.planId = `${request.id}#${this.planCount}`;
    const prompt = request.prompt ?? { parts: [], tokensIn: 0, tokensOut: 0 };
    return deps.planner.plan({
      planId: this.planId,
      requestId: request.id,
      fingerprint: this.fingerprint,
      service: scope.service,
      stages: route.stages,
      pieces: request.pieces,
      pieceKey: request.pieceKey,
      priority: scope.priority,
      goalLeft: Math.max(MIN_GOAL_LEFT_MS, route.latencyGoal - scope.age),
      deadlineLeft: scope.timeLeft,
      prompt,
      version: this.version,
      continuedId: this.version === undefined ? this.continuedId : undefined,
      isResumable: route.resumable,
      avoid,
      replaces,
      held: [],
    });
  }

  /** After a delay, returns whether to replace a plan that was lost with its coordinator. */
  private async mayReplan(
    outcome: coordination.PlanOutcome & { kind: 'refused' },
  ): Promise<boolean> {
    if (outcome.reason !== 'lost' || this.planCount >= MAX_PLANS) {
      return false;
    }
    await this.deps.clock.sleep(REPLAN_DELAY_MS);
    return true;
  }

  private mayRetry(attempt: AttemptOutcome): boolean {
    const { scope, deps } = this;
    if (scope.attemptCount >= engineCalls.MAX_ATTEMPTS) {
      return false;
    }
    if (attempt.kind === 'not-run') {
      return deps.budget.take();
    }
    const mayExecute = this.isRepeatable && this.calls.executions < scope.route.maxExecutions;
    return mayExecute && deps.budget.take();
  }

  private get isRepeatable(): boolean {
    const { route } = this.scope;
    return route.kind === 'safe' || route.resumable;
  }

  /** Rejects the request after the planner refused it; a response that has started is aborted. */
  private rejectRefused(outcome: coordination.PlanOutcome & { kind: 'refused' }): void {
    const { scope } = this;
    const { reason, retryAfter } = outcome;
    const trait = this.deps.blameTable.verdictOf(this.traits)?.trait;
    const cause = reason === 'quarantined' ? { trait } : {};
    this.log('rejected', { reason, retryAfter: Math.round(retryAfter), ...cause });
    if (scope.responseStarted) {
      scope.responder.abort();
    } else if (scope.isNotRun) {
      this.reject(reason === 'lost' ? 'overloaded' : reason, retryAfter);
    } else {
      this.reject('endpoint-failed');
    }
    scope.finish();
  }

  private fail(attempt: AttemptOutcome): void {
    const { scope } = this;
    this.log('failed', { last: attempt.kind, begun: scope.responseStarted });
    if (scope.responseStarted) {
      scope.responder.abort();
    } else {
      this.reject(scope.isNotRun ? 'overloaded' : 'endpoint-failed', REPLAN_DELAY_MS);
    }
    scope.finish();
  }

  private reject(rejection: types.Rejection, retryAfter?: commonTypes.Millis): void {
    this.deps.metrics.count('refused', { reason: rejection });
    this.scope.responder.reject(rejection, retryAfter);
  }

  /**
   * Sends the request to the engine of a plan, and to a second one if the first one is late, and relays the response that
   * begins first. Resolves with that attempt and its engine.
   */
  private async attempt(plan: ReadyPlan): Promise<IEndedAttempt> {
    const { deps } = this;
    const { endpoint, inputs, hedgeAfter } = plan;
    this.recordVersion(endpoint);
    const started = deps.clock.monotonic();
    const first = this.calls.start(endpoint, inputs, this.planId);
    let isQuarantined = false;
    const subscription = deps.blameTable.onVerdict(() => {
      if (!isQuarantined && !this.inputsReleased && this.quarantineRefusal !== undefined) {
        isQuarantined = true;
        this.calls.cancelAll();
      }
    });
    let call = first;
    try {
      if (hedgeAfter !== undefined) {
        call = await this.calls.race(first, inputs, this.planId, hedgeAfter);
      }
      const attempt = await this.relayCall(call, started, () => isQuarantined);
      return { endpoint: call.endpoint, attempt };
    } catch (err) {
      this.calls.cancelAll();
      throw err;
    } finally {
      subscription.dispose();
      this.calls.end(call);
    }
  }

  private recordVersion({ version = '' }: routing.IEndpoint): void {
    if (!this.relay.hasForwarded) {
      const { request, service } = this.scope;
      this.deps.streams.record({ requestId: request.id, version, service });
    }
  }

  private async relayCall(
    call: engineCall.EngineCall,
    started: commonTypes.Millis,
    isQuarantined: () => boolean,
  ): Promise<AttemptOutcome> {
    const { scope, deps } = this;
    const { endpoint } = call;
    try {
      const answer = await call.answer;
      const outcome = await this.relayAnswer(answer);
      if (this.relay.hasForwarded) {
        this.version ??= endpoint.version ?? '';
      }
      const took = Math.round(deps.clock.monotonic() - started);
      if (isQuarantined()) {
        this.log('sending-ended', { endpoint: endpoint.id, end: 'quarantined', took });
        return { kind: 'quarantined' };
      }
      const reason = outcome.kind === 'cut' ? outcome.reason : undefined;
      const bodyEnd = answerBody.recordBodyEnd(deps.metrics, 'engine', answer);
      const end = outcome.kind;
      this.log('sending-ended', { endpoint: endpoint.id, end, took, reason, bodyEnd });
      if (outcome.kind === 'cut') {
        deps.metrics.count('answer_lost', { kind: 'engine' });
        call.cancel();
      } else if (outcome.kind === 'not-run') {
        void this.drainRejection(answer, call, endpoint.id);
      }
      return outcome;
    } catch (err) {
      if (!(err instanceof types.EndpointCallError)) {
        call.cancel();
        throw err;
      }
      const end = isQuarantined() ? 'quarantined' : 'lost';
      this.log('sending-ended', { endpoint: endpoint.id, end, reason: err.message });
      if (end === 'lost') {
        deps.metrics.count('answer_lost', { kind: 'engine' });
      }
      if (err.sent) {
        scope.mayHaveRun = true;
        return { kind: end };
      }
      this.calls.recordNotRun();
      const isHealthy = deps.caller.isPathInDoubt(endpoint) || !deps.caller.isOpen(endpoint);
      return { kind: 'not-run', inputsLost: false, isHealthy };
    }
  }

  private async relayAnswer(answer: types.IEndpointAnswer): Promise<AttemptOutcome> {
    const { scope, deps } = this;
    if (answer.isNotRun) {
      this.calls.recordNotRun();
      const inputsLost = !answer.isWrongEndpoint && answer.status === 409;
      return { kind: 'not-run', inputsLost, isHealthy: answer.namesRateLimit };
    }
    scope.mayHaveRun = true;
    if (!answer.isGenuine) {
      return { kind: 'cut', reason: 'not an answer to this request' };
    }
    const isStream = answer.status >= 200 && answer.status < 300;
    if (!isStream) {
      return this.relayFailure(answer);
    }
    const { begun = answer } = this;
    if (answer.status !== begun.status || answer.mediaType !== begun.mediaType) {
      const reason = `status ${answer.status}, type ${answer.mediaType} after the stream had started`;
      return { kind: 'cut', reason };
    }
    if (!scope.responseStarted) {
      // Throws for a head that cannot be written, in place of which a rejection still can.
      scope.responder.begin(answer);
      scope.responseStarted = true;
      this.begun = answer;
    }
    const pace = new eventPace.EventPace(deps.clock);
    const slowdown = answer.load?.slowdown;
    const onFirstData = (): void => {
      deps.planner.markStarted(this.planId, isStream, slowdown);
      this.inputsReleased = true;
      this.log('first-event', {});
    };
    const end = await this.relay.relay(answer, onFirstData, pace);
    if (end.kind === 'cut') {
      return end;
    }
    if (end.kind === 'whole') {
      scope.responder.end();
      this.finishAnswered(answer, slowdown === undefined ? undefined : pace.meanGap);
    }
    return { kind: 'done' };
  }

  /** Passes on an error response; it is read whole first, so that another engine can answer if it breaks off. */
  private async relayFailure(answer: types.IEndpointAnswer): Promise<AttemptOutcome> {
    const { scope } = this;
    if (scope.responseStarted) {
      return { kind: 'cut', reason: `status ${answer.status} after the stream had started` };
    }
    const result = await answerBody.readBody(
      answer.body,
      () => answer.isComplete(),
      answerBody.MAX_BODY_BYTES,
      this.deps.memory,
    );
    if (scope.isFinished) {
      return { kind: 'done' };
    }
    if ('fault' in result) {
      return { kind: 'cut', reason: result.fault };
    }
    this.deps.planner.markStarted(this.planId, false);
    this.inputsReleased = true;
    if (answer.looksNotRun && !this.isRepeatable) {
      // The caller would send the request again, which may have run.
      this.reject('endpoint-failed');
    } else {
      scope.responder.answer(answer, result.body);
    }
    this.finishAnswered(answer);
    return { kind: 'done' };
  }

  private finishAnswered(answer: types.IEndpointAnswer, eventGap?: commonTypes.Millis): void {
    this.log('answered', { status: answer.status });
    this.deps.planner.markEnded(this.planId, undefined, eventGap);
    this.scope.finish();
  }

  /** Reads the body of a rejection; ends the call if the body does not end. */
  private async drainRejection(
    answer: types.IEndpointAnswer,
    call: Pick<types.IStartedCall, 'cancel'>,
    endpointId: string,
  ): Promise<void> {
    const reason = await answerBody.drainRejection(answer, this.deps.clock);
    if (reason !== undefined) {
      call.cancel();
      this.log('rejection-cut', { endpoint: endpointId, reason });
      this.deps.metrics.count('answer_lost', { kind: 'rejection' });
    }
  }

  private buildCall(endpoint: routing.IEndpoint, inputs: readonly string[]): types.IEndpointCall {
    const { scope, deps } = this;
    return {
      request: scope.request,
      endpoint,
      timeLeft: scope.timeLeft,
      workspace: scope.workspace?.name,
      enginePriority: Math.min(MAX_ENGINE_PRIORITY, 1 + scope.priority * ENGINE_PRIORITY_STEP),
      inputs,
      lastEventId: this.relay.lastEventId ?? scope.request.lastEventId,
      maxConnections: deps.maxConnections(scope.service),
      isRepeatable: this.isRepeatable,
    };
  }

  private log(event: string, fields: commonServices.LogFields): void {
    const { request, route, service, attemptCount, age } = this.scope;
    const plan = this.planId;
    const common = {
      request: request.id,
      plan,
      route: route.name,
      service,
      sendings: attemptCount,
    };
    this.deps.logService.info(event, { ...common, age: Math.round(age), ...fields });
  }
}
