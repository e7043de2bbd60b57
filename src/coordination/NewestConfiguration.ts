import type * as commonTypes from '../common/Types.js';

/**
 * Time for which the word of a leader holds: four of its state messages, and less than a change of the configuration may
 * take to be in force.
 */
const VALIDITY_MS = 1000;

/** What a leader with a quorum said last of the newest version of the configuration. */
export class NewestConfiguration {
  private latest: { readonly version: number; readonly at: commonTypes.Millis } | undefined;

  /** Starts without knowledge. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Records the newest version, as a leader with a quorum has just named it. */
  record(version: number): void {
    this.latest = { version, at: this.clock.monotonic() };
  }

  /** Whether no newer version than `version` was in force when a leader spoke last, which was not long ago. */
  isCurrent(version: number): boolean {
    const { latest } = this;
    return (
      latest !== undefined &&
      version >= latest.version &&
      this.clock.monotonic() - latest.at <= VALIDITY_MS
    );
  }
}
