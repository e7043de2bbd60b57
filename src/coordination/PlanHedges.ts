import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as hedging from '../hedging/Types.js';
import type * as enginePlacer from '../placing/EnginePlacer.js';
import type * as placing from '../placing/Types.js';
import type * as routing from '../routing/Types.js';

/** Services that PlanHedges uses. */
export interface IPlanHedgesDependencies {
  readonly clock: commonTypes.IClock;
  readonly policy: hedging.IHedgePolicy;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** A plan whose request is on an engine, and how a second engine for it is chosen. */
export interface IHedgedPlan {
  readonly planId: string;
  readonly service: string;
  readonly placer: enginePlacer.EnginePlacer;
  /** Request for the placement on the engine that has it, with the results that it reads. */
  readonly placement: placing.IPlacementRequest;
}

interface IOpenHedge extends IHedgedPlan {
  readonly attempt: hedging.IFirstAttempt;
  readonly startedAt: commonTypes.Millis;
  second: routing.IEndpoint | undefined;
}

/**
 * Second engines for requests whose first one is late: the coordinator knows the work ahead of each request and the
 * times of all VMs, so it alone decides and keeps to the limit on extra work.
 */
export class PlanHedges {
  private readonly open = new Map<string, IOpenHedge>();

  /** Starts without requests on engines. */
  constructor(private readonly deps: IPlanHedgesDependencies) {}

  /**
   * Records that a request was placed on its first engine; returns the time after which its VM may ask for a second one, if
   * any. Replaces what was known of an earlier engine of the plan.
   */
  recordPlaced(plan: IHedgedPlan): commonTypes.Millis | undefined {
    const { policy, clock } = this.deps;
    const { planId, service, placer } = plan;
    this.remove(planId);
    const work = placer.workOf(planId);
    if (work === undefined) {
      return undefined;
    }
    const attempt = {
      service,
      availabilityZone: work.endpoint.availabilityZone,
      work: work.tokens,
      workAhead: work.tokensAhead,
    };
    const delay = policy.delayFor(attempt);
    policy.recordFirst(attempt);
    this.open.set(planId, { ...plan, attempt, startedAt: clock.monotonic(), second: undefined });
    return delay;
  }

  /** Chooses a second engine for a request; undefined if it gets none. */
  request(planId: string): routing.IEndpoint | undefined {
    const hedge = this.open.get(planId);
    if (hedge === undefined || hedge.second !== undefined) {
      return undefined;
    }
    const { policy, logService, metrics } = this.deps;
    const { attempt, placer } = hedge;
    const verdict = policy.request(attempt, { occupancy: placer.occupancy });
    hedge.second = verdict === 'granted' ? this.placeSecond(hedge) : undefined;
    const outcome = verdict === 'granted' && hedge.second === undefined ? 'no-engine' : verdict;
    metrics.count('hedge', { outcome });
    logService.info('hedge', {
      plan: planId,
      service: attempt.service,
      outcome,
      endpoint: hedge.second?.id,
      waited: Math.round(this.deps.clock.monotonic() - hedge.startedAt),
      tokens: attempt.work,
      tokensAhead: attempt.workAhead,
    });
    return hedge.second;
  }

  /**
   * Records which engine has the request from now on; the other one no longer counts as busy with it. Returns which one that
   * is; undefined if there was no second engine.
   */
  settle(planId: string, winner: string): 'first' | 'second' | undefined {
    const hedge = this.open.get(planId);
    if (hedge?.second === undefined) {
      return undefined;
    }
    const { placer, second } = hedge;
    const isSecond = second.id === winner;
    this.deps.metrics.count('hedge_won', { by: isSecond ? 'second' : 'first' });
    placer.removeOutrun(isSecond ? planId : secondIdOf(planId));
    hedge.second = undefined;
    if (isSecond) {
      placer.rename(secondIdOf(planId), planId);
    }
    return isSecond ? 'first' : 'second';
  }

  /** Records that the request has its first token, from whichever engine, or an error in place of it. */
  recordStarted(planId: string, isSuccess: boolean): void {
    const hedge = this.open.get(planId);
    if (hedge !== undefined) {
      if (isSuccess) {
        // A first attempt that lost would have taken longer: the sample is a lower bound.
        const took = this.deps.clock.monotonic() - hedge.startedAt;
        this.deps.policy.recordAnswer(hedge.attempt, took);
      }
      hedge.placer.markStarted(secondIdOf(planId));
    }
  }

  /** Removes a request from its second engine, and forgets it. */
  remove(planId: string): void {
    this.open.get(planId)?.placer.removeRequest(secondIdOf(planId));
    this.open.delete(planId);
  }

  private placeSecond({
    planId,
    placer,
    placement,
    attempt,
  }: IOpenHedge): routing.IEndpoint | undefined {
    const first = placer.workOf(planId)?.endpoint;
    if (first === undefined) {
      return undefined;
    }
    const { availabilityZone } = first;
    const isZoneLate = this.deps.policy.isZoneLate(attempt.service, availabilityZone);
    const lateZone = isZoneLate ? placer.enginesIn(availabilityZone) : [];
    return placer.place({
      ...placement,
      planId: secondIdOf(planId),
      // Streams of two versions do not fit together.
      version: first.version ?? '',
      needsHealthy: true,
      avoid: [...placement.avoid, first.id, ...lateZone],
    });
  }
}

function secondIdOf(planId: string): string {
  return `${planId}/second`;
}
