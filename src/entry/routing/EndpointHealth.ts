import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryTypes from '../Types.js';

/** Bounds of the busy period after a refusal; the endpoint is ineligible during it. */
const MAX_BUSY_MS = 1_000;
const MIN_BUSY_MS = 20;

/** Whether a failure indicates a faulty endpoint, as opposed to a faulty request or overload. */
function isEndpointFault(failure: entryTypes.EndpointFailure | undefined): boolean {
  return (
    failure === 'connect-failed' ||
    failure === 'connection-lost' ||
    failure === 'endpoint-error' ||
    failure === 'answer-mismatch'
  );
}

/**
 * Health of one endpoint: counts consecutive failures, ejects for periods that double each time, admits one
 * probe at a time after such a period, and keeps a busy period after refusals.
 */
export class EndpointHealth {
  private consecutiveFailures = 0;

  private ejectionMs = 0;

  private ejectedUntil: commonTypes.Millis | undefined;

  private busyUntil: commonTypes.Millis = -Infinity;

  private busyMs = 0;

  private probeInFlight = false;

  /** Starts healthy; `options` holds the ejection threshold and periods. */
  constructor(private readonly options: decisionOptions.IRoutingOptions) {}

  /** Whether the endpoint is ejected; stays true after the ejection period until a call succeeds. */
  get ejected(): boolean {
    return this.ejectedUntil !== undefined;
  }

  /** Whether a probe of the ejected endpoint is in flight. */
  get probing(): boolean {
    return this.probeInFlight;
  }

  /** Whether the consecutive failures have reached the ejection threshold and it is not ejected yet. */
  get shouldEject(): boolean {
    return this.ejectedUntil === undefined && this.consecutiveFailures >= this.options.maxFailures;
  }

  /** Whether the endpoint may get work at `now` (monotonic milliseconds). */
  isEligible(now: commonTypes.Millis): boolean {
    if (now < this.busyUntil) {
      return false;
    }
    return this.ejectedUntil === undefined || (now >= this.ejectedUntil && !this.probeInFlight);
  }

  /** Records that a call starts; it counts as the probe when the endpoint is ejected. */
  recordStart(): void {
    this.probeInFlight = this.probeInFlight || this.ejected;
  }

  /** Records the outcome of a call; returns whether it ended an ejection. */
  recordOutcome(outcome: entryTypes.IAttemptOutcome, now: commonTypes.Millis): boolean {
    if (outcome.ok) {
      return this.recover();
    }
    if (outcome.failure === 'endpoint-refused') {
      this.markBusy(now);
    }
    if (isEndpointFault(outcome.failure)) {
      this.consecutiveFailures += 1;
    }
    if (this.probeInFlight) {
      this.probeInFlight = false;
      this.eject(now);
    }
    return false;
  }

  /** Ejects the endpoint for twice the previous ejection period, within the configured bounds. */
  eject(now: commonTypes.Millis): void {
    const { ejectMinMs, ejectMaxMs } = this.options;
    this.ejectionMs = Math.min(ejectMaxMs, Math.max(ejectMinMs, this.ejectionMs * 2));
    this.ejectedUntil = now + this.ejectionMs;
  }

  /** Clears failures and the ejection after the endpoint has restarted as a new incarnation. */
  reset(): void {
    this.recover();
    this.ejectionMs = 0;
  }

  private recover(): boolean {
    const wasEjected = this.ejected;
    this.consecutiveFailures = 0;
    this.ejectedUntil = undefined;
    this.probeInFlight = false;
    this.busyMs = 0;
    this.ejectionMs = wasEjected ? this.ejectionMs : 0;
    return wasEjected;
  }

  private markBusy(now: commonTypes.Millis): void {
    this.busyMs = Math.min(MAX_BUSY_MS, Math.max(MIN_BUSY_MS, this.busyMs * 2));
    this.busyUntil = now + this.busyMs;
  }
}
