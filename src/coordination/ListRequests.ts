import type * as commonTypes from '../common/Types.js';

/** Entry VMs that are asked within one interval; one answer is enough, but any of them may be lost. */
const REQUESTS_PER_INTERVAL = 3;
const INTERVAL_MS = 250;

/**
 * Limits how many entry VMs a new coordinator asks for their endpoint list: each sends the whole list, and those of all VMs
 * would fill the coordinator's link.
 */
export class ListRequests {
  private intervalStart = -Infinity;

  private count = 0;

  /** Allows requests at once. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Whether one more VM may be asked now; counts it. */
  take(): boolean {
    const now = this.clock.monotonic();
    if (now - this.intervalStart >= INTERVAL_MS) {
      this.intervalStart = now;
      this.count = 0;
    }
    this.count += 1;
    return this.count <= REQUESTS_PER_INTERVAL;
  }
}
