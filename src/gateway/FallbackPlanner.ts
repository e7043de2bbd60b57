import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as coordination from '../coordination/Types.js';

/** The coordinator that serves all VMs, and how long it is away. */
export interface ICoordinatorPlanner extends coordination.IPlanner {
  readonly isConnected: boolean;
  readonly disconnectedFor: commonTypes.Millis;
  /** Results that were made for a plan, also when its coordinator was lost. */
  resultsOf(planId: string): readonly batching.IResultRecord[];
  /** Another plan goes on with the results of this one. */
  forget(planId: string): void;
}

/** A VM plans alone only after the coordinator was away for this long: a successor is found sooner. */
const ALONE_AFTER_MS = 2500;
/** Between two looks for the coordinator while a plan waits. */
const LOOK_MS = 40;

/** Plans with the shared coordinator, or alone when there is none for a while. */
export class FallbackPlanner implements coordination.IPlanner {
  private readonly owners = new Map<string, coordination.IPlanner>();

  /** `alone` plans for this VM only. */
  constructor(
    private readonly shared: ICoordinatorPlanner,
    private readonly alone: coordination.IPlanner,
    private readonly clock: commonTypes.IClock,
  ) {}

  /** @inheritdoc */
  async plan(req: coordination.IPlanRequest): Promise<coordination.PlanOutcome> {
    const started = this.clock.monotonic();
    this.owners.set(req.planId, this.shared);
    while (!this.shared.isConnected && this.shared.disconnectedFor < ALONE_AFTER_MS) {
      await this.clock.sleep(LOOK_MS);
      if (!this.owners.has(req.planId)) {
        return { kind: 'refused', reason: 'lost', retryAfter: LOOK_MS };
      }
    }
    const owner = this.shared.isConnected ? this.shared : this.alone;
    this.owners.set(req.planId, owner);
    const waited = this.clock.monotonic() - started;
    const goalLeft = Math.max(1, req.goalLeft - waited);
    const held = this.takeResults(req.replaces);
    const deadlineLeft = req.deadlineLeft - waited;
    const outcome = await owner.plan({ ...req, goalLeft, deadlineLeft, held });
    if (outcome.kind === 'refused') {
      this.owners.delete(req.planId);
    }
    return outcome;
  }

  private takeResults(planId: string | undefined): readonly batching.IResultRecord[] {
    if (planId === undefined) {
      return [];
    }
    const held = this.shared.resultsOf(planId);
    this.shared.forget(planId);
    return held;
  }

  /** @inheritdoc */
  again(planId: string, failed: string): Promise<coordination.PlanOutcome> {
    const owner = this.owners.get(planId) ?? this.shared;
    return owner.again(planId, failed);
  }

  /** @inheritdoc */
  cancel(planId: string): void {
    this.owners.get(planId)?.cancel(planId);
    this.owners.delete(planId);
  }

  /** @inheritdoc */
  started(planId: string): void {
    this.owners.get(planId)?.started(planId);
  }

  /** @inheritdoc */
  ended(planId: string, failed?: string): void {
    this.owners.get(planId)?.ended(planId, failed);
    this.owners.delete(planId);
  }
}
