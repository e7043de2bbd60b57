import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryTypes from '../Types.js';

/** Longest time for which a refusal keeps new work away. */
const MAX_BUSY_MS = 1_000;
const FIRST_BUSY_MS = 20;

/** Failures that speak against the endpoint rather than the request or its load. */
function isFault(failure: entryTypes.EndpointFailure | undefined): boolean {
  return (
    failure === 'connect-failed' ||
    failure === 'connection-lost' ||
    failure === 'endpoint-error' ||
    failure === 'answer-mismatch'
  );
}

/** Failures in a row, ejection with growing pauses, and one probe at a time after a pause. */
export class EndpointHealth {
  private failures = 0;

  private pause = 0;

  private ejectedUntil: commonTypes.Millis | undefined;

  private busyUntil: commonTypes.Millis = -Infinity;

  private busyPause = 0;

  private probe = false;

  /** Ejects by `options`. */
  constructor(private readonly options: decisionOptions.IRoutingOptions) {}

  /** Whether the endpoint is out, its pause over or not. */
  get ejected(): boolean {
    return this.ejectedUntil !== undefined;
  }

  /** Whether a probe is under way after an ejection. */
  get probing(): boolean {
    return this.probe;
  }

  /** Whether failures are due to eject it. */
  get failing(): boolean {
    return this.ejectedUntil === undefined && this.failures >= this.options.ejectAfterFailures;
  }

  /** Whether it may get work at `now`. */
  fit(now: commonTypes.Millis): boolean {
    if (now < this.busyUntil) {
      return false;
    }
    return this.ejectedUntil === undefined || (now >= this.ejectedUntil && !this.probe);
  }

  /** Work was given to it. */
  start(): void {
    this.probe = this.probe || this.ejected;
  }

  /** Work ended; returns whether it came back from an ejection. */
  settle(outcome: entryTypes.IAttemptOutcome, now: commonTypes.Millis): boolean {
    if (outcome.ok) {
      return this.recover();
    }
    if (outcome.failure === 'endpoint-refused') {
      this.refuse(now);
    }
    if (isFault(outcome.failure)) {
      this.failures += 1;
    }
    if (this.probe) {
      this.probe = false;
      this.eject(now);
    }
    return false;
  }

  /** Takes it out for a pause, twice as long as the last one. */
  eject(now: commonTypes.Millis): void {
    const { ejectMinMs, ejectMaxMs } = this.options;
    this.pause = Math.min(ejectMaxMs, Math.max(ejectMinMs, this.pause * 2));
    this.ejectedUntil = now + this.pause;
  }

  /** Forgets all: the endpoint is a new incarnation. */
  reset(): void {
    this.recover();
    this.pause = 0;
  }

  private recover(): boolean {
    const returned = this.ejected;
    this.failures = 0;
    this.ejectedUntil = undefined;
    this.probe = false;
    this.busyPause = 0;
    this.pause = returned ? this.pause : 0;
    return returned;
  }

  private refuse(now: commonTypes.Millis): void {
    this.busyPause = Math.min(MAX_BUSY_MS, Math.max(FIRST_BUSY_MS, this.busyPause * 2));
    this.busyUntil = now + this.busyPause;
  }
}
