import type * as types from './Types.js';

interface IDelay {
  /** End of the delay, when the timer fired. */
  readonly end: types.Millis;
  readonly duration: types.Millis;
}

/**
 * Times within the last `window` milliseconds in which the event loop was late, as a repeating timer has found.
 *
 * @example
 * const delays = new EventLoopDelays(clock, 1000);
 * delays.record(clock.monotonic() - dueAt);
 * const lateMs = delays.since(sentAt);
 */
export class EventLoopDelays {
  private delays: readonly IDelay[] = [];

  /** Starts without a delay. */
  constructor(
    private readonly clock: types.IClock,
    private readonly window: types.Millis,
  ) {}

  /** Records that a timer fires now and is late by `duration`; delays that are recorded must not overlap. */
  record(duration: types.Millis): void {
    const end = this.clock.monotonic();
    const kept = this.delays.filter((delay) => delay.end >= end - this.window);
    this.delays = duration > 0 ? [...kept, { end, duration }] : kept;
  }

  /** Sum of the delays from the time `start` on, which is at most `window` milliseconds ago. */
  since(start: types.Millis): types.Millis {
    return this.delays
      .map(({ end, duration }) => Math.min(duration, Math.max(0, end - start)))
      .reduce((sum, each) => sum + each, 0);
  }

  /** Longest of the recent delays; 0 without any. */
  get longest(): types.Millis {
    return Math.max(0, ...this.delays.map(({ duration }) => duration));
  }
}
