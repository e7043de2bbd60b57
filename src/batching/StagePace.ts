import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';

/** Share of a learnt value that a new observation makes up. */
const LEARN_SHARE = 0.06;
/** The pace is measured over this time, as long as there is always something waiting. */
const PACE_WINDOW_MS = 1500;
/** A measured pace may be beaten by this much. */
const PACE_MARGIN = 1.15;

/** How many items the endpoints of a stage make in a millisecond: by their calls, by their room, and as measured. */
export class StagePace {
  private learntHold: commonTypes.Millis;

  private learntBytes = 0;

  /** Start of the time since which something waits all along; undefined while nothing does. */
  private busySince: commonTypes.Millis | undefined;

  private madeSince = 0;

  private measured: number | undefined;

  /** Knows nothing but the declared costs. */
  constructor(
    private readonly clock: commonTypes.IClock,
    { callCost }: routing.IBatchLimits,
  ) {
    this.learntHold = 2 * callCost;
  }

  /** Items that endpoints make in a millisecond; `slownesses` has one entry for each that may be called. */
  of(slownesses: readonly number[], limits: routing.IBatchLimits): number {
    const { callCost, itemCost, maxItemsPerCall: items, resultCapacityBytes: roomBytes } = limits;
    const perReplica = slownesses.reduce((sum, slowness) => sum + 1 / slowness, 0);
    const byCalls = (perReplica * items) / (callCost + itemCost * items);
    const heldBytes = this.learntBytes * Math.max(1, this.learntHold);
    const byRoom = (slownesses.length * roomBytes) / Math.max(1, heldBytes);
    return Math.min(byCalls, byRoom, (this.measured ?? Number.POSITIVE_INFINITY) * PACE_MARGIN);
  }

  /** A call with items of this mean size starts. */
  noteBytes(mean: number): void {
    this.learntBytes += LEARN_SHARE * (mean - this.learntBytes);
  }

  /** A result was held from the start of its call for this long. */
  noteHold(time: commonTypes.Millis): void {
    this.learntHold += LEARN_SHARE * (time - this.learntHold);
  }

  /** Measures the pace while something waits all along; forgets it when nothing does. */
  noteMade(made: number, isWaiting: boolean): void {
    const now = this.clock.monotonic();
    if (!isWaiting) {
      this.busySince = undefined;
      this.measured = undefined;
      return;
    }
    if (this.busySince === undefined) {
      this.busySince = now;
      this.madeSince = 0;
      return;
    }
    this.madeSince += made;
    const time = now - this.busySince;
    if (time >= PACE_WINDOW_MS) {
      this.measured = Math.max(this.madeSince, 1) / time;
      this.busySince = now;
      this.madeSince = 0;
    }
  }
}
