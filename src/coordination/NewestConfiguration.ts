import type * as commonTypes from '../common/Types.js';

/**
 * Age up to which a leader's report is valid: four state messages, and less than the time within which a configuration
 * must be in force.
 */
const VALIDITY_MS = 1000;

/** Newest version of the configuration, as a leader with a quorum reported it last. */
export class NewestConfiguration {
  private latest: { readonly version: number; readonly at: commonTypes.Millis } | undefined;

  /** Starts without a report. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Records a report of a leader with a quorum. */
  record(version: number): void {
    this.latest = { version, at: this.clock.monotonic() };
  }

  /** Whether a valid report names no newer version than `version`. */
  isCurrent(version: number): boolean {
    const { latest } = this;
    return (
      latest !== undefined &&
      version >= latest.version &&
      this.clock.monotonic() - latest.at <= VALIDITY_MS
    );
  }
}
