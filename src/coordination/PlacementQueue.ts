import type * as commonTypes from '../common/Types.js';

/** A plan whose stages are complete. */
export interface IWaitingPlan {
  readonly service: string;
  /** Priority level; 0 is the most urgent. */
  readonly priority: number;
  /** Time, on the monotonic clock, until which the request meets its latency goal. */
  readonly goalAt: commonTypes.Millis;
  /** Whether any engine of the service may run the request. */
  readonly fitsAnyEngine: boolean;
}

interface IServiceTimer {
  readonly dueAt: commonTypes.Millis;
  readonly timer: commonTypes.IDisposable;
}

/** Plans that wait until the rate limit of an engine allows another request; the most urgent plan goes first. */
export class PlacementQueue implements commonTypes.IDisposable {
  private readonly plans = new Map<string, IWaitingPlan>();

  private readonly timers = new Map<string, IServiceTimer>();

  /** `place` places a plan, or adds it again. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly place: (planId: string) => void,
  ) {}

  /** Adds a plan; `delay` is the time until an engine of its service takes another request. */
  add(planId: string, plan: IWaitingPlan, delay: commonTypes.Millis): void {
    this.plans.set(planId, plan);
    this.schedule(plan.service, delay);
  }

  /** Tries the plans of a service soon, because an engine may have room. */
  retry(service: string): void {
    if (this.hasService(service)) {
      this.schedule(service, 0);
    }
  }

  private schedule(service: string, delay: commonTypes.Millis): void {
    const dueAt = this.clock.monotonic() + delay;
    const present = this.timers.get(service);
    if (present !== undefined && present.dueAt <= dueAt) {
      return;
    }
    present?.timer.dispose();
    const timer = this.clock.setTimer(delay, () => {
      this.timers.delete(service);
      this.placeNext(service);
    });
    this.timers.set(service, { dueAt, timer });
  }

  /** Whether a plan that any engine may run waits and goes before `plan`, which would take its place otherwise. */
  hasBefore(plan: IWaitingPlan): boolean {
    return [...this.plans.values()].some(
      (waiting) =>
        waiting.fitsAnyEngine &&
        waiting.service === plan.service &&
        PlacementQueue.compare(waiting, plan) < 0,
    );
  }

  /** Whether a plan of the service waits. */
  hasService(service: string): boolean {
    return [...this.plans.values()].some((waiting) => waiting.service === service);
  }

  /** Removes a plan; unknown ids are ignored. */
  delete(planId: string): void {
    this.plans.delete(planId);
  }

  /** @inheritdoc */
  dispose(): void {
    this.timers.forEach(({ timer }) => timer.dispose());
    this.plans.clear();
  }

  /**
   * Places plans of a service in order, until one that any engine may run has to wait; then no other one can be placed
   * either. A plan that has to wait adds itself again, which starts the timer.
   */
  private placeNext(service: string): void {
    const inOrder = [...this.plans]
      .filter(([, plan]) => plan.service === service)
      .sort(([, a], [, b]) => PlacementQueue.compare(a, b));
    for (const [planId, plan] of inOrder) {
      if (this.plans.delete(planId)) {
        this.place(planId);
      }
      if (this.plans.has(planId) && plan.fitsAnyEngine) {
        return;
      }
    }
  }

  private static compare(a: IWaitingPlan, b: IWaitingPlan): number {
    return a.priority - b.priority || a.goalAt - b.goalAt;
  }
}
