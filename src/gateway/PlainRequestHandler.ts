import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as routing from '../routing/Types.js';
import type * as requestScope from './RequestScope.js';
import type * as retryBudget from './RetryBudget.js';
import type * as serviceBalancer from './ServiceBalancer.js';
import * as types from './Types.js';

/** Sendings of one request, refused ones included. */
const MAX_SENDINGS = 3;
/** A second sending is begun beside a slow one after this share of the goal. */
const HEDGE_SHARE = 0.5;
/** Or after this many times the usual time, whichever is longer. */
const HEDGE_FACTOR = 2.5;
/** A refused caller is told to come back after this. */
const RETRY_AFTER_MS = 200;
/** A longer answer is not held, and counts as lost; services answer with documents of a few kilobytes. */
const MAX_HELD_BYTES = 8_388_608;

/** What a run works with. */
export interface IPlainRequestDependencies {
  readonly clock: commonTypes.IClock;
  readonly caller: types.IEndpointCaller;
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly budget: retryBudget.RetryBudget;
  readonly logService: commonServices.ILogService;
  readonly maxConnections: (service: string) => number;
}

interface IWhole {
  readonly answer: types.IEndpointAnswer;
  readonly body: Buffer;
}

type Outcome =
  | { readonly kind: 'whole'; readonly whole: IWhole }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'lost'; readonly sent: boolean }
  | { readonly kind: 'over' };

/** Serves one plain request: once where it may not be repeated, else again or beside a slow sending. */
export class PlainRequestHandler {
  private readonly tried: string[] = [];

  private runs = 0;

  private failure: IWhole | undefined;

  /** Serves the request of `scope`. */
  constructor(
    private readonly scope: requestScope.RequestScope,
    private readonly needs: IPlainRequestDependencies,
  ) {}

  /** Runs until the caller is answered. */
  async run(): Promise<void> {
    const { scope, needs } = this;
    needs.budget.recordRequest();
    while (!scope.isOver) {
      const outcome = await this.attemptWithHedge();
      if (scope.isOver || outcome.kind === 'over') {
        return;
      }
      if (outcome.kind === 'whole' && !this.isWorthRepeating(outcome.whole)) {
        this.answer(outcome.whole);
        return;
      }
      if (outcome.kind === 'whole') {
        this.failure = outcome.whole;
      }
      if (!this.mayGoOn(outcome)) {
        this.giveUp(outcome);
        return;
      }
    }
  }

  private get isSafe(): boolean {
    return this.scope.route.kind === 'safe';
  }

  private isWorthRepeating({ answer }: IWhole): boolean {
    return this.isSafe && answer.status >= 500 && this.runs < this.scope.route.maxExecutions;
  }

  private mayGoOn(outcome: Outcome): boolean {
    const { scope, needs } = this;
    if (scope.attemptCount >= MAX_SENDINGS || !this.hasOther()) {
      return false;
    }
    const neverRan = outcome.kind === 'not-run' || (outcome.kind === 'lost' && !outcome.sent);
    const mayRun = neverRan || (this.isSafe && this.runs < scope.route.maxExecutions);
    const costs = outcome.kind !== 'lost' || outcome.sent;
    return mayRun && (!costs || needs.budget.take());
  }

  private hasOther(): boolean {
    return this.needs.balancer.choose(this.scope.service, this.tried) !== undefined;
  }

  private answer(whole: IWhole): void {
    const { scope } = this;
    scope.responder.answer(whole.answer, whole.body);
    this.log('answered', { status: whole.answer.status });
    scope.finish();
  }

  private giveUp(outcome: Outcome): void {
    const { scope } = this;
    if (this.failure !== undefined) {
      this.answer(this.failure);
      return;
    }
    const rejection = scope.isNotRun ? 'overloaded' : 'endpoint-failed';
    this.log('rejected', { rejection, last: outcome.kind });
    scope.responder.reject(rejection, RETRY_AFTER_MS);
    scope.finish();
  }

  /** One sending, and for what may be repeated a second one beside it when it is slow. */
  private async attemptWithHedge(): Promise<Outcome> {
    const { scope, needs } = this;
    const first = this.attempt();
    if (!this.isSafe || this.runs >= scope.route.maxExecutions) {
      return first;
    }
    const usual = needs.balancer.medianLatency(scope.service);
    const delay = Math.max(scope.route.latencyGoal * HEDGE_SHARE, usual * HEDGE_FACTOR);
    const timeUp = await this.isSlower(first, delay);
    if (!timeUp || scope.isOver || !this.hasOther() || !needs.budget.take()) {
      return first;
    }
    this.log('hedged', { delay: Math.round(delay) });
    return PlainRequestHandler.better(first, this.attempt());
  }

  private async isSlower(first: Promise<Outcome>, delay: commonTypes.Millis): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this.needs.clock.setTimer(delay, () => resolve(true));
      void first.then(() => {
        timer.dispose();
        resolve(false);
      });
    });
  }

  /** The first good answer of two sendings, else whatever came last. */
  private static better(first: Promise<Outcome>, second: Promise<Outcome>): Promise<Outcome> {
    return new Promise((resolve) => {
      let left = 2;
      [first, second].forEach((sending) => {
        void sending.then((outcome) => {
          left -= 1;
          const isGood = outcome.kind === 'whole' && outcome.whole.answer.status < 500;
          if (isGood || left === 0) {
            resolve(outcome);
          }
        });
      });
    });
  }

  /** One sending to one endpoint, until its answer is whole. */
  private async attempt(): Promise<Outcome> {
    const { scope, needs } = this;
    const endpoint = needs.balancer.choose(scope.service, this.tried);
    if (endpoint === undefined) {
      return { kind: 'not-run' };
    }
    this.tried.push(endpoint.id);
    scope.attemptCount += 1;
    scope.attemptsInFlight += 1;
    this.runs += 1;
    needs.balancer.recordStart(endpoint.id);
    const started = needs.clock.monotonic();
    const call = needs.caller.send(this.callTo(endpoint));
    let cancelled = false;
    const forget = scope.onFinish(() => {
      cancelled = true;
      call.cancel();
    });
    let load: types.IEndpointLoad | undefined;
    const end = (how: serviceBalancer.CallOutcome): void => {
      forget();
      scope.attemptsInFlight -= 1;
      const took = needs.clock.monotonic() - started;
      needs.balancer.recordEnd(endpoint.id, cancelled ? 'cancelled' : how, took, load);
      this.log('sending-ended', { endpoint: endpoint.id, end: how, took: Math.round(took) });
    };
    try {
      const answer = await call.answer;
      load = answer.load;
      if (answer.isNotRun) {
        this.runs -= 1;
        answer.body.resume();
        end('refused');
        return { kind: 'not-run' };
      }
      scope.mayHaveRun = true;
      const body = await PlainRequestHandler.readBody(answer);
      if (body === undefined || !answer.isGenuine) {
        call.cancel();
        end('lost');
        return { kind: 'lost', sent: true };
      }
      end(answer.status >= 500 ? 'error' : 'ok');
      return { kind: 'whole', whole: { answer, body } };
    } catch (err) {
      if (!(err instanceof types.EndpointCallError)) {
        throw err;
      }
      if (err.sent) {
        scope.mayHaveRun = true;
      } else {
        this.runs -= 1;
      }
      end('lost');
      return cancelled ? { kind: 'over' } : { kind: 'lost', sent: err.sent };
    }
  }

  private callTo(endpoint: routing.IEndpoint): types.IEndpointCall {
    const { scope, needs } = this;
    return {
      request: scope.request,
      endpoint,
      timeLeft: scope.timeLeft,
      workspace: scope.workspace?.name,
      enginePriority: undefined,
      inputs: [],
      lastEventId: undefined,
      maxConnections: needs.maxConnections(scope.service),
    };
  }

  /** The whole body; undefined when it was cut or is too large to be held. */
  private static async readBody(answer: types.IEndpointAnswer): Promise<Buffer | undefined> {
    const parts: Buffer[] = [];
    let bytes = 0;
    try {
      for await (const chunk of answer.body) {
        parts.push(chunk as Buffer);
        bytes += (chunk as Buffer).length;
        if (bytes > MAX_HELD_BYTES) {
          return undefined;
        }
      }
    } catch {
      // A broken connection: what came so far is no answer; the caller logs how the sending ended.
      return undefined;
    }
    return answer.isComplete() ? Buffer.concat(parts) : undefined;
  }

  private log(event: string, fields: commonServices.LogFields): void {
    const { request: arrival, route, service, attemptCount: sendings } = this.scope;
    const age = Math.round(this.scope.age);
    const inputs = { request: arrival.id, route: route.name, service, sendings, age };
    this.needs.logService.info(event, { ...inputs, ...fields });
  }
}
