import type * as types from './Types.js';

/** Weight of a new first attempt in the mean work of first attempts. */
const MEAN_SAMPLE_WEIGHT = 0.05;

/**
 * Limits the work of hedges to a fraction of the work of first attempts. Starts empty, so that a process that restarts
 * does not add to what its predecessor spent.
 *
 * @example
 * const budget = new WorkBudget({ workRatio: 0.03, burst: 4 });
 * budget.recordFirst(1200);
 * const mayHedge = budget.take(1200);
 */
export class WorkBudget {
  private balance = 0;

  private averageWork = 0;

  /** Starts without any work. */
  constructor(private readonly limits: types.IHedgeLimits) {}

  /** Mean work of recent first attempts; 0 without any. */
  get meanWork(): number {
    return this.averageWork;
  }

  /** Records the work of a first attempt, of which hedges may do a fraction. */
  recordFirst(work: number): void {
    const { averageWork, limits } = this;
    this.averageWork =
      averageWork === 0 ? work : averageWork + MEAN_SAMPLE_WEIGHT * (work - averageWork);
    this.balance = Math.min(
      this.balance + limits.workRatio * work,
      limits.burst * this.averageWork,
    );
  }

  /** Takes the work of a hedge; returns false, and takes nothing, if less is left. */
  take(work: number): boolean {
    if (work > this.balance) {
      return false;
    }
    this.balance -= work;
    return true;
  }
}
