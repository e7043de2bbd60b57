import type * as commonTypes from '../common/Types.js';

/** A plan whose stages are complete. */
export interface IWaitingPlan {
  readonly service: string;
  /** Priority level; 0 is the most urgent. */
  readonly priority: number;
  /** Time, on the monotonic clock, until which the request meets its latency goal. */
  readonly goalAt: commonTypes.Millis;
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
    const { service } = plan;
    this.plans.set(planId, plan);
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

  /** Removes a plan; unknown ids are ignored. */
  delete(planId: string): void {
    this.plans.delete(planId);
  }

  /** @inheritdoc */
  dispose(): void {
    this.timers.forEach(({ timer }) => timer.dispose());
    this.plans.clear();
  }

  /** Places plans of a service until one of them has to wait, which starts the timer again. */
  private placeNext(service: string): void {
    let next = this.mostUrgent(service);
    while (next !== undefined && !this.timers.has(service)) {
      this.plans.delete(next);
      this.place(next);
      next = this.mostUrgent(service);
    }
  }

  private mostUrgent(service: string): string | undefined {
    const [first] = [...this.plans]
      .filter(([, plan]) => plan.service === service)
      .sort(([, a], [, b]) => a.priority - b.priority || a.goalAt - b.goalAt);
    return first?.[0];
  }
}
