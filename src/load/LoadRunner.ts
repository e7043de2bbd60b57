import type * as commonTypes from '../common/Types.js';
import * as arrivals from './Arrivals.js';
import * as tally from './Tally.js';
import type * as types from './Types.js';

const PROGRESS_MS = 1000;

/** Sends one planned request and tells how it ended. */
export interface ISender {
  /** `due` is the planned moment in monotonic milliseconds. */
  send(
    entry: string,
    planned: types.IPlannedRequest,
    due: commonTypes.Millis,
  ): Promise<types.IRequestEnd>;
}

/**
 * Open loop: each request leaves at its planned moment, whether or not earlier ones were answered, and
 * its latency counts from that moment.
 */
export class LoadRunner {
  private inFlight = 0;

  private planned = 0;

  /** Reports progress as lines. */
  constructor(
    private readonly sender: ISender,
    private readonly clock: commonTypes.IClock,
    private readonly progress: (line: string) => void,
  ) {}

  /** Runs a variant; resolves when its last request has ended. */
  async run(variant: types.IVariant, seed: number): Promise<types.IVariantResult> {
    const counts = new tally.Tally();
    const start = this.clock.monotonic();
    const ends: Promise<void>[] = [];
    let told = start;
    for (const planned of arrivals.planArrivals(variant, seed)) {
      const due = start + planned.at;
      const wait = due - this.clock.monotonic();
      if (wait > 0) {
        await this.clock.sleep(wait);
      }
      this.planned += 1;
      if (this.inFlight >= variant.maxInFlight) {
        counts.addUnsent();
      } else {
        ends.push(this.launch(variant, planned, due, counts));
      }
      if (this.clock.monotonic() - told >= PROGRESS_MS) {
        told = this.clock.monotonic();
        this.tell(variant, told - start);
      }
    }
    await Promise.all(ends);
    return counts.result(variant.name, seed);
  }

  private async launch(
    variant: types.IVariant,
    planned: types.IPlannedRequest,
    due: commonTypes.Millis,
    counts: tally.Tally,
  ): Promise<void> {
    const entry = variant.entries[planned.index % variant.entries.length] ?? '';
    this.inFlight += 1;
    try {
      counts.add(await this.sender.send(entry, planned, due));
    } finally {
      this.inFlight -= 1;
    }
  }

  private tell(variant: types.IVariant, passed: commonTypes.Millis): void {
    const seconds = `${Math.round(passed / 1000)} of ${variant.seconds} s`;
    this.progress(
      `${variant.name}: ${seconds}, ${this.planned} planned, ${this.inFlight} in flight`,
    );
  }
}
