import type * as commonTypes from '../../common/Types.js';

/** Part of the time in which work takes longer, and how much longer. */
const SLOW_RATIO = 0.15;
const SLOWDOWN = 2.5;

/** An endpoint that shares its VM with others, so that work takes longer there from time to time. */
export class SlowPhases {
  private readonly phases: { readonly from: commonTypes.Millis; readonly slowdown: number }[] = [];

  /** Draws phases of a mean length for the first `duration`. */
  constructor(
    random: commonTypes.IRandom,
    duration: commonTypes.Millis,
    meanPhase: commonTypes.Millis,
  ) {
    for (let from = 0; from < duration;) {
      this.phases.push({ from, slowdown: random.next() < SLOW_RATIO ? SLOWDOWN : 1 });
      from += -Math.log(1 - random.next()) * meanPhase;
    }
  }

  /** Slowdown at a time. */
  at(time: commonTypes.Millis): number {
    return this.phases.findLast(({ from }) => from <= time)?.slowdown ?? 1;
  }
}
