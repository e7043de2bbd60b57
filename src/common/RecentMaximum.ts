import type * as types from './Types.js';

interface ISample {
  readonly at: types.Millis;
  readonly value: number;
}

/**
 * Highest of the values of the last `window` milliseconds.
 *
 * @example
 * const connected = new RecentMaximum(clock, 10_000);
 * connected.record(sessions.size);
 * const count = connected.value;
 */
export class RecentMaximum {
  /** Samples by time, with falling values: an older one counts only while it is higher than all later ones. */
  private samples: ISample[] = [];

  /** Starts without a value. */
  constructor(
    private readonly clock: types.IClock,
    private readonly window: types.Millis,
  ) {}

  /** Highest recent value, the last one at least; 0 without any. */
  get value(): number {
    const oldest = this.clock.monotonic() - this.window;
    const recent = this.samples.find(({ at }) => at >= oldest) ?? this.samples.at(-1);
    return recent?.value ?? 0;
  }

  /** Records a value. */
  record(value: number): void {
    const at = this.clock.monotonic();
    const kept = this.samples.filter(
      (sample) => sample.value > value && sample.at >= at - this.window,
    );
    this.samples = [...kept, { at, value }];
  }
}
