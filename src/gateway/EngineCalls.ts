import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as coordination from '../coordination/Types.js';
import type * as routing from '../routing/Types.js';
import * as callRace from './CallRace.js';
import * as engineCall from './EngineCall.js';
import type * as requestScope from './RequestScope.js';
import * as types from './Types.js';

/** Attempts for one request, including those that an engine rejected. */
export const MAX_ATTEMPTS = 4;

/** Collaborators of EngineCalls. */
export interface IEngineCallsDependencies
  extends types.IRequestHandlerDependencies, engineCall.IEngineCallDependencies {
  readonly planner: coordination.IPlanner;
}

/** What EngineCalls needs of the handler of the request. */
export interface IEngineCallsOwner {
  /** Builds the call of the request to an engine. */
  readonly buildCall: (
    endpoint: routing.IEndpoint,
    inputs: readonly string[],
  ) => types.IEndpointCall;
  /** Whether no part of a response was relayed and no trait of the request is quarantined. */
  readonly mayStillHedge: () => boolean;
  readonly log: (event: string, fields: commonServices.LogFields) => void;
}

/** The calls of one request to model engines, of which two run while a late one is hedged. */
export class EngineCalls {
  private readonly open = new Set<engineCall.EngineCall>();

  private executionCount = 0;

  /** Starts without calls. */
  constructor(
    private readonly scope: requestScope.RequestScope,
    private readonly deps: IEngineCallsDependencies,
    private readonly owner: IEngineCallsOwner,
  ) {}

  /** Calls in which the request was executed or may have been. */
  get executions(): number {
    return this.executionCount;
  }

  /** Records that an engine did not execute the request of a call. */
  recordNotRun(): void {
    this.executionCount -= 1;
  }

  /** Sends the request to an engine; `roomId` names its room at a brittle one. */
  start(
    endpoint: routing.IEndpoint,
    inputs: readonly string[],
    roomId: string,
  ): engineCall.EngineCall {
    const endpointCall = this.owner.buildCall(endpoint, inputs);
    const call = new engineCall.EngineCall(this.scope, endpointCall, roomId, this.deps);
    this.executionCount += 1;
    this.open.add(call);
    return call;
  }

  /** Cancels all calls in progress. */
  cancelAll(): void {
    this.open.forEach((call) => call.cancel());
  }

  /** Ends a call whose outcome is known. */
  end(call: engineCall.EngineCall): void {
    this.open.delete(call);
    call.dispose();
  }

  /** Adds a call to a second engine if the first one is late; resolves with the call that is answered first. */
  race(
    first: engineCall.EngineCall,
    inputs: readonly string[],
    planId: string,
    delay: commonTypes.Millis,
  ): Promise<engineCall.EngineCall> {
    const { planner, clock, metrics } = this.deps;
    let mayHoldEngine = false;
    const race = new callRace.CallRace(clock, {
      requestEngine: async () => {
        mayHoldEngine = this.mayHedge;
        const endpoint = mayHoldEngine ? await planner.hedge(planId) : undefined;
        mayHoldEngine = endpoint !== undefined;
        return endpoint;
      },
      start: (endpoint) => {
        if (!this.mayStart(endpoint)) {
          return undefined;
        }
        metrics.count('retry', { reason: 'hedged' });
        this.owner.log('hedged', { endpoint: endpoint.id, first: first.endpoint.id });
        return this.start(endpoint, inputs, `${planId}/second`);
      },
      onWithdrawn: () => {
        if (mayHoldEngine) {
          planner.settleHedge(planId, { winner: first.endpoint.id });
        }
      },
      onSettled: async (winner, loser, loserEnd) => {
        this.recordLoser(loser, loserEnd);
        const failure = loserEnd && (await this.failureOf(loser, loserEnd));
        const failed = failure && { endpoint: loser.endpoint.id, failure };
        planner.settleHedge(planId, { winner: winner.endpoint.id, ...(failed && { failed }) });
      },
    });
    return race.run(first, delay);
  }

  /** Whether the request may be sent once more although its first call goes on. */
  private get mayHedge(): boolean {
    const { isFinished, route, attemptCount } = this.scope;
    const isRepeatable = route.kind === 'safe' || route.resumable;
    const hasAttempt = this.executions < route.maxExecutions && attemptCount < MAX_ATTEMPTS;
    return !isFinished && isRepeatable && hasAttempt && this.owner.mayStillHedge();
  }

  /** Whether a second engine may still get the request; draws on the retry budget only if it does. */
  private mayStart(endpoint: routing.IEndpoint): boolean {
    const { caller, budget } = this.deps;
    return this.mayHedge && caller.isOpen(endpoint) && budget.take();
  }

  private recordLoser(loser: engineCall.EngineCall, end: callRace.CallEnd | undefined): void {
    this.open.delete(loser);
    if (end !== undefined && isNotRun(end)) {
      this.recordNotRun();
    } else {
      this.scope.mayHaveRun = true;
    }
    const unfinished = this.owner.mayStillHedge() ? 'outrun' : 'cancelled';
    this.owner.log('sending-ended', {
      endpoint: loser.endpoint.id,
      end: end?.kind ?? unfinished,
      ...(end?.kind === 'failed' && { reason: end.err.message }),
    });
  }

  /** What the end of a call says about its engine; undefined if nothing. */
  private async failureOf(
    { endpoint }: engineCall.EngineCall,
    end: callRace.CallEnd,
  ): Promise<coordination.EngineFailure | undefined> {
    const { caller, metrics } = this.deps;
    if (isNotRun(end)) {
      const isHealthy =
        end.kind === 'answered'
          ? end.answer.namesRateLimit
          : caller.isPathInDoubt(endpoint) || !caller.isOpen(endpoint);
      const lacksInputs =
        end.kind === 'answered' && end.answer.status === 409 && !end.answer.isWrongEndpoint;
      const notRun = isHealthy ? 'limited' : 'not-run';
      return lacksInputs ? undefined : notRun;
    }
    if (end.kind === 'answered' && end.answer.isGenuine) {
      return undefined;
    }
    metrics.count('answer_lost', { kind: 'engine' });
    return (await caller.hasLostPath(endpoint)) ? undefined : 'broken';
  }
}

/** Whether the engine did not execute the request of a call that has ended. */
function isNotRun(end: callRace.CallEnd): boolean {
  return end.kind === 'answered'
    ? end.answer.isNotRun
    : end.err instanceof types.EndpointCallError && !end.err.sent;
}
