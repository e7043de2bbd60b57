import type * as commonTypes from '../common/Types.js';

/** Events after the first one from which a mean tells something. */
const MIN_EVENTS = 4;
/** End of an event, as endpoints write it; a stream that ends its lines otherwise is not measured. */
const EVENT_END = '\n\n';

/** Measures the mean time between the events of one stream, without the time in which its caller held it up. */
export class EventPace {
  private lastAt: commonTypes.Millis | undefined;

  private total: commonTypes.Millis = 0;

  private count = 0;

  /** Starts before the first event. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Mean time between events; undefined if there were too few. */
  get meanGap(): commonTypes.Millis | undefined {
    return this.count < MIN_EVENTS ? undefined : this.total / this.count;
  }

  /** Records the arrival of complete events. */
  record(events: Buffer): void {
    const now = this.clock.monotonic();
    if (this.lastAt !== undefined) {
      this.total += now - this.lastAt;
      this.count += countEvents(events);
    }
    this.lastAt = now;
  }

  /** Records that the caller reads slowly: the time until the next events tells nothing of the endpoint. */
  pause(): void {
    this.lastAt = undefined;
  }
}

function countEvents(events: Buffer): number {
  let count = 0;
  for (let at = events.indexOf(EVENT_END); at >= 0; at = events.indexOf(EVENT_END, at + 2)) {
    count += 1;
  }
  return count;
}
