import type * as types from './Types.js';

/** Fraction of an interval by which it is shortened or lengthened at random. */
const JITTER_RATIO = 0.5;

/** Intervals between the attempts of a RetryPacing. */
export interface IRetryIntervals {
  /** After the first attempt; doubles with each further one. */
  readonly first: types.Millis;
  readonly longest: types.Millis;
}

/**
 * Spaces attempts that many processes make for the same reason at the same time: the interval doubles after each
 * attempt and is drawn at random, so that what all of them together ask for falls.
 *
 * @example
 * const pacing = new RetryPacing(clock, random, { first: 100, longest: 2000 });
 * pacing.recordAttempt();
 * await clock.sleep(pacing.delay);
 */
export class RetryPacing {
  private attempts = 0;

  private dueAt: types.Millis = Number.NEGATIVE_INFINITY;

  /** The first attempt is due at once. */
  constructor(
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private readonly intervals: IRetryIntervals,
  ) {}

  /** Whether the next attempt may be made. */
  get isDue(): boolean {
    return this.delay === 0;
  }

  /** Time until the next attempt may be made. */
  get delay(): types.Millis {
    return Math.max(0, this.dueAt - this.clock.monotonic());
  }

  /** Records an attempt that is made now. */
  recordAttempt(): void {
    const { first, longest } = this.intervals;
    const interval = Math.min(longest, first * 2 ** this.attempts);
    const jitter = 1 + JITTER_RATIO * (2 * this.random.next() - 1);
    this.attempts += 1;
    this.dueAt = this.clock.monotonic() + interval * jitter;
  }

  /** Starts over after a success; the next attempt is due at once. */
  reset(): void {
    this.attempts = 0;
    this.dueAt = Number.NEGATIVE_INFINITY;
  }
}
