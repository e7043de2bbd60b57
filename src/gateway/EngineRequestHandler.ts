import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as coordination from '../coordination/Types.js';
import type * as routing from '../routing/Types.js';
import * as eventRelay from './EventRelay.js';
import type * as requestScope from './RequestScope.js';
import type * as retryBudget from './RetryBudget.js';
import * as types from './Types.js';

/** Sendings of one request, refused ones included. */
const MAX_SENDINGS = 4;
/** A plan that was lost is made again no more often than this. */
const MAX_PLANS = 6;
/** Wait before a lost plan is made again. */
const REPLAN_MS = 60;
/** Highest rank that an engine knows. */
const MAX_RANK = 9;
/** Ranks of the engine between two of ours. */
const RANK_STEP = 2;
/** A plan without a goal left counts its time to the deadline. */
const LEAST_GOAL_MS = 1;

/** What a run works with. */
export interface IEngineRequestDependencies {
  readonly clock: commonTypes.IClock;
  readonly caller: types.IEndpointCaller;
  readonly planner: coordination.IPlanner;
  readonly budget: retryBudget.RetryBudget;
  readonly logService: commonServices.ILogService;
  readonly maxConnections: (service: string) => number;
}

type Sent =
  | { readonly kind: 'done' }
  /** The engine did not run it; `inputsGone` when results of stages are lost. */
  | { readonly kind: 'not-run'; readonly inputsGone: boolean }
  | { readonly kind: 'cut' }
  | { readonly kind: 'lost' };

/** Serves one request to a model engine: stages, then the engine's events. */
export class EngineRequestHandler {
  private readonly relay: eventRelay.EventRelay;

  private plans = 0;

  private runs = 0;

  private planId = '';

  /** Whether the results of the present plan were given back, since an engine had begun to answer. */
  private inputsUsed = false;

  /** Serves the request of `scope`. */
  constructor(
    private readonly scope: requestScope.RequestScope,
    private readonly needs: IEngineRequestDependencies,
  ) {
    this.relay = new eventRelay.EventRelay(scope);
  }

  /** Runs until the caller is answered. */
  async run(): Promise<void> {
    const { scope, needs } = this;
    needs.budget.recordRequest();
    const forget = scope.onFinish(() => needs.planner.cancel(this.planId));
    let avoid: readonly string[] = [];
    let outcome = await this.plan(avoid);
    while (!scope.isOver) {
      if (outcome.kind === 'refused') {
        if (!(await this.mayReplan(outcome))) {
          this.refuse(outcome);
          return;
        }
        outcome = await this.plan(avoid);
        continue;
      }
      const { endpoint, inputs } = outcome;
      const sent = await this.send(endpoint, inputs);
      if (scope.isOver || sent.kind === 'done') {
        forget();
        return;
      }
      avoid = [...avoid, endpoint.id];
      if (!this.mayGoOn(sent)) {
        needs.planner.ended(this.planId, sent.kind === 'not-run' ? undefined : endpoint.id);
        this.fail(sent);
        return;
      }
      outcome = await this.next(sent, endpoint, avoid);
    }
  }

  /** The next engine: for the same results where they are still there. */
  private next(
    sent: Sent,
    endpoint: routing.IEndpoint,
    avoid: readonly string[],
  ): Promise<coordination.PlanOutcome> {
    const inputsGone = sent.kind === 'not-run' && sent.inputsGone;
    if (!inputsGone && !this.inputsUsed) {
      return this.needs.planner.again(this.planId, endpoint.id);
    }
    const failed = sent.kind === 'not-run' ? undefined : endpoint.id;
    this.needs.planner.ended(this.planId, failed);
    return this.plan(avoid);
  }

  private plan(avoid: readonly string[]): Promise<coordination.PlanOutcome> {
    const { scope, needs } = this;
    const { request: arrival, route } = scope;
    const replaces = this.plans === 0 ? undefined : this.planId;
    this.plans += 1;
    this.inputsUsed = false;
    this.planId = `${arrival.id}#${this.plans}`;
    const prompt = arrival.prompt ?? { parts: [], tokensIn: 0, tokensOut: 0 };
    return needs.planner.plan({
      planId: this.planId,
      requestId: arrival.id,
      service: scope.service,
      stages: route.stages,
      pieces: arrival.pieces,
      pieceKey: arrival.pieceKey,
      priority: scope.priority,
      goalLeft: Math.max(LEAST_GOAL_MS, route.latencyGoal - scope.age),
      deadlineLeft: scope.timeLeft,
      prompt,
      avoid,
      replaces,
      held: [],
    });
  }

  /** A plan that was lost with its coordinator is made again. */
  private async mayReplan(
    outcome: coordination.PlanOutcome & { kind: 'refused' },
  ): Promise<boolean> {
    if (outcome.reason !== 'lost' || this.plans >= MAX_PLANS) {
      return false;
    }
    await this.needs.clock.sleep(REPLAN_MS);
    return !this.scope.isOver;
  }

  private mayGoOn(sent: Sent): boolean {
    const { scope, needs } = this;
    const { route } = scope;
    if (scope.attemptCount >= MAX_SENDINGS) {
      return false;
    }
    if (sent.kind === 'not-run') {
      return needs.budget.take();
    }
    const repeatable = route.kind === 'safe' || route.resumable;
    return repeatable && this.runs < route.maxExecutions && needs.budget.take();
  }

  private refuse(outcome: coordination.PlanOutcome & { kind: 'refused' }): void {
    const { scope } = this;
    const { reason, retryAfter } = outcome;
    this.log('rejected', { reason, retryAfter: Math.round(retryAfter) });
    if (scope.responseStarted) {
      scope.responder.abort();
    } else if (scope.isNotRun) {
      scope.responder.reject(reason === 'lost' ? 'overloaded' : reason, retryAfter);
    } else {
      scope.responder.reject('endpoint-failed');
    }
    scope.finish();
  }

  private fail(sent: Sent): void {
    const { scope } = this;
    this.log('failed', { last: sent.kind, begun: scope.responseStarted });
    if (scope.responseStarted) {
      scope.responder.abort();
    } else {
      scope.responder.reject(scope.isNotRun ? 'overloaded' : 'endpoint-failed', REPLAN_MS);
    }
    scope.finish();
  }

  /** Sends the request to an engine and passes its events on. */
  private async send(endpoint: routing.IEndpoint, inputs: readonly string[]): Promise<Sent> {
    const { scope, needs } = this;
    scope.attemptCount += 1;
    scope.attemptsInFlight += 1;
    this.runs += 1;
    const started = needs.clock.monotonic();
    const call = needs.caller.send(this.callTo(endpoint, inputs));
    const forget = scope.onFinish(() => call.cancel());
    try {
      const sent = await this.pass(await call.answer);
      const took = Math.round(needs.clock.monotonic() - started);
      this.log('sending-ended', { endpoint: endpoint.id, end: sent.kind, took });
      if (sent.kind === 'cut') {
        call.cancel();
      }
      return sent;
    } catch (err) {
      if (!(err instanceof types.EndpointCallError)) {
        throw err;
      }
      this.log('sending-ended', { endpoint: endpoint.id, end: 'lost', reason: err.message });
      if (err.sent) {
        scope.mayHaveRun = true;
        return { kind: 'lost' };
      }
      this.runs -= 1;
      return { kind: 'not-run', inputsGone: false };
    } finally {
      forget();
      scope.attemptsInFlight -= 1;
    }
  }

  private async pass(answer: types.IEndpointAnswer): Promise<Sent> {
    const { scope, needs } = this;
    if (answer.isNotRun) {
      this.runs -= 1;
      answer.body.resume();
      const inputsGone = !answer.isWrongEndpoint && answer.status === 409;
      return { kind: 'not-run', inputsGone };
    }
    scope.mayHaveRun = true;
    if (!answer.isGenuine) {
      return { kind: 'cut' };
    }
    const isStream = answer.status >= 200 && answer.status < 300;
    if (!scope.responseStarted) {
      scope.responseStarted = true;
      scope.responder.begin(answer);
    } else if (!isStream) {
      return { kind: 'cut' };
    }
    const end = await this.relay.relay(answer, () => {
      needs.planner.started(this.planId);
      this.inputsUsed = true;
      this.log('first-event', {});
    });
    if (end === 'over') {
      return { kind: 'done' };
    }
    if (end === 'cut') {
      return { kind: 'cut' };
    }
    scope.responder.end();
    this.log('answered', { status: answer.status });
    needs.planner.ended(this.planId);
    scope.finish();
    return { kind: 'done' };
  }

  private callTo(endpoint: routing.IEndpoint, inputs: readonly string[]): types.IEndpointCall {
    const { scope, needs } = this;
    return {
      request: scope.request,
      endpoint,
      timeLeft: scope.timeLeft,
      workspace: scope.workspace?.name,
      enginePriority: Math.min(MAX_RANK, 1 + scope.priority * RANK_STEP),
      inputs,
      lastEventId: this.relay.lastEventId ?? scope.request.lastEventId,
      maxConnections: needs.maxConnections(scope.service),
    };
  }

  private log(event: string, fields: commonServices.LogFields): void {
    const { request: arrival, route, service, attemptCount: sendings, age } = this.scope;
    const plan = this.planId;
    const inputs = { request: arrival.id, plan, route: route.name, service, sendings };
    this.needs.logService.info(event, { ...inputs, age: Math.round(age), ...fields });
  }
}
