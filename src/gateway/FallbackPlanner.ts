import type * as batching from '../batching/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import * as heldResults from '../coordination/HeldResults.js';
import * as planShape from '../coordination/PlanShape.js';
import type * as coordination from '../coordination/Types.js';
import type * as routing from '../routing/Types.js';

/** Planner that forwards to the coordinator, which plans for all entry VMs. */
export interface ICoordinatorPlanner extends coordination.IPlanner {
  /** Whether a coordinator is connected. */
  readonly isConnected: boolean;
  /** Time since the connection to the coordinator was lost; 0 while connected. */
  readonly disconnectedFor: commonTypes.Millis;
  /** Fires when a coordinator is connected again. */
  readonly onCoordinatorFound: commonTypes.IEvent<void>;
  /** Returns the stage results that were produced for a plan, even if its coordinator was lost since. */
  resultsOf(planId: string): readonly batching.IResultRecord[];
  /** Discards the record of a plan's results, because another plan has taken them over. */
  forget(planId: string): void;
}

/** Planner that plans the requests of this VM only. */
export interface ILocalPlanner extends coordination.IPlanner {
  /** Ends a plan without freeing its results; refuses it as `lost` if it has no outcome yet. */
  abandon(planId: string): void;
}

/** Outage of the coordinator after which a VM plans locally; the search for a successor takes less. */
const LOCAL_PLANNING_AFTER_MS = 2500;
/** Interval at which a pending plan checks the connection to the coordinator. */
const CONNECTION_CHECK_MS = 40;

/**
 * Plans with the coordinator, and falls back to a local planner when the coordinator has been unreachable for some
 * time. Further calls for a plan go to the planner that made it. Local plans without an outcome are handed back once a
 * coordinator is connected: their requests are planned again, with the results that exist.
 */
export class FallbackPlanner implements coordination.IPlanner {
  private readonly plannerByPlan = new Map<string, coordination.IPlanner>();

  /** Local plans without an outcome. */
  private readonly pendingLocally = new Set<string>();

  private readonly localResults: heldResults.HeldResults;

  /** Whether a request was planned locally since the coordinator was lost. */
  private plansAlone = false;

  /** `local` plans the requests of this VM only. */
  constructor(
    private readonly coordinator: ICoordinatorPlanner,
    private readonly local: ILocalPlanner,
    private readonly clock: commonTypes.IClock,
    private readonly logService: commonServices.ILogService,
    /** Whether this VM may plan beside a coordinator: not where endpoints bear a rate that only one planner can keep to. */
    private readonly mayOverflow: () => boolean = () => true,
  ) {
    this.localResults = new heldResults.HeldResults(clock);
    coordinator.onCoordinatorFound(() => this.handBack());
  }

  /** @inheritdoc */
  async plan(req: coordination.IPlanRequest): Promise<coordination.PlanOutcome> {
    const started = this.clock.monotonic();
    this.plannerByPlan.set(req.planId, this.coordinator);
    while (
      !this.coordinator.isConnected &&
      this.coordinator.disconnectedFor < LOCAL_PLANNING_AFTER_MS
    ) {
      await this.clock.sleep(CONNECTION_CHECK_MS);
      if (!this.plannerByPlan.has(req.planId)) {
        return { kind: 'refused', reason: 'lost', retryAfter: CONNECTION_CHECK_MS };
      }
    }
    const isLocal = !this.coordinator.isConnected;
    this.plannerByPlan.set(req.planId, isLocal ? this.local : this.coordinator);
    const waited = this.clock.monotonic() - started;
    const goalLeft = Math.max(1, req.goalLeft - waited);
    const held = this.takeResults(req.replaces);
    const deadlineLeft = req.deadlineLeft - waited;
    const updated = { ...req, goalLeft, deadlineLeft, held };
    const first = await (isLocal ? this.planLocally(updated) : this.coordinator.plan(updated));
    const isOverflow =
      first.kind === 'refused' &&
      first.isPlannerBusy === true &&
      !planShape.isChain(req) &&
      this.mayOverflow();
    const outcome = isOverflow ? await this.planOverflow(req, started) : first;
    if (outcome.kind === 'refused') {
      this.plannerByPlan.delete(req.planId);
    }
    return outcome;
  }

  private async planLocally(req: coordination.IPlanRequest): Promise<coordination.PlanOutcome> {
    if (!this.plansAlone) {
      this.plansAlone = true;
      this.logService.warn('planning-alone', {
        lostFor: Math.round(this.coordinator.disconnectedFor),
      });
    }
    return this.planHere(req);
  }

  private async planHere(req: coordination.IPlanRequest): Promise<coordination.PlanOutcome> {
    const { planId } = req;
    this.pendingLocally.add(planId);
    this.localResults.track(planId, 0, req.held);
    const outcome = await this.local.plan(req, (record) => this.localResults.add(planId, record));
    this.pendingLocally.delete(planId);
    if (outcome.kind !== 'refused' || outcome.reason !== 'lost') {
      this.localResults.forget(planId);
    }
    return outcome;
  }

  /**
   * Plans a request on this VM for which the coordinator has no time; what the stages can do decides on it. Not one with several
   * stages: its results would hold room for later stages that this VM can not count on.
   */
  private planOverflow(
    req: coordination.IPlanRequest,
    started: commonTypes.Millis,
  ): Promise<coordination.PlanOutcome> {
    const { planId } = req;
    if (!this.plannerByPlan.has(planId)) {
      return Promise.resolve({ kind: 'refused', reason: 'lost', retryAfter: CONNECTION_CHECK_MS });
    }
    this.plannerByPlan.set(planId, this.local);
    this.logService.info('planning-overflow', { plan: planId });
    const waited = this.clock.monotonic() - started;
    const goalLeft = Math.max(1, req.goalLeft - waited);
    return this.planHere({ ...req, goalLeft, deadlineLeft: req.deadlineLeft - waited });
  }

  private handBack(): void {
    if (this.plansAlone) {
      this.plansAlone = false;
      this.logService.info('plans-handed-back', { plans: this.pendingLocally.size });
    }
    this.pendingLocally.forEach((planId) => this.local.abandon(planId));
  }

  private takeResults(planId: string | undefined): readonly batching.IResultRecord[] {
    if (planId === undefined) {
      return [];
    }
    const held = [...this.coordinator.resultsOf(planId), ...this.localResults.resultsOf(planId)];
    this.coordinator.forget(planId);
    this.localResults.forget(planId);
    return held;
  }

  /** @inheritdoc */
  reassign(
    planId: string,
    failed: string,
    failure: coordination.EngineFailure,
  ): Promise<coordination.PlanOutcome> {
    const planner = this.plannerByPlan.get(planId) ?? this.coordinator;
    return planner.reassign(planId, failed, failure);
  }

  /** @inheritdoc */
  hedge(planId: string): Promise<routing.IEndpoint | undefined> {
    const planner = this.plannerByPlan.get(planId);
    return planner === undefined ? Promise.resolve(undefined) : planner.hedge(planId);
  }

  /** @inheritdoc */
  settleHedge(planId: string, end: coordination.IHedgeEnd): void {
    this.plannerByPlan.get(planId)?.settleHedge(planId, end);
  }

  /** @inheritdoc */
  cancel(planId: string): void {
    this.localResults.forget(planId);
    this.plannerByPlan.get(planId)?.cancel(planId);
    this.plannerByPlan.delete(planId);
  }

  /** @inheritdoc */
  markStarted(planId: string, isSuccess: boolean, slowdown?: number): void {
    this.plannerByPlan.get(planId)?.markStarted(planId, isSuccess, slowdown);
  }

  /** @inheritdoc */
  markEnded(planId: string, failed?: string, eventGap?: commonTypes.Millis): void {
    this.plannerByPlan.get(planId)?.markEnded(planId, failed, eventGap);
    this.plannerByPlan.delete(planId);
  }
}
