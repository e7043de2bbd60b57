import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryTypes from '../Types.js';
import * as endpointHealth from './EndpointHealth.js';

/** Weight of a fresh sample of slowness. */
const SLOWNESS_WEIGHT = 0.2;
const MAX_SLOWNESS = 100;

/** What this VM knows of one endpoint: own calls in flight, the last report, slowness, health. */
export class EndpointState {
  /** Whether a suspect runs here alone, or waits for the rest to end. */
  reserved = false;

  private own = 0;

  /** Failures and ejection. */
  readonly health: endpointHealth.EndpointHealth;

  private report: entryTypes.ILoadReport | undefined;

  private reportAt: commonTypes.Millis = 0;

  /** Own calls in flight when the report was received. */
  private ownAtReport = 0;

  /** Logarithm of latency over the usual latency of its work. */
  private slowness = 0;

  private slownessAt: commonTypes.Millis = 0;

  /** Starts without evidence. */
  constructor(
    /** The declaration's endpoint. */
    readonly endpoint: configTypes.IEndpoint,
    private readonly options: decisionOptions.IRoutingOptions,
  ) {
    this.health = new endpointHealth.EndpointHealth(options);
  }

  /** Calls of ours in flight. */
  get ownCallsInFlight(): number {
    return this.own;
  }

  /** A call of ours starts. */
  begin(): void {
    this.own += 1;
    this.health.recordStart();
  }

  /** A call of ours ended; returns whether the endpoint came back from an ejection. */
  end(outcome: entryTypes.IAttemptOutcome, now: commonTypes.Millis): boolean {
    this.own -= 1;
    if (outcome.load) {
      this.observeLoad(outcome.load, now);
    }
    return this.health.recordOutcome(outcome, now);
  }

  /** Takes a load report received at `now`. */
  observeLoad(report: entryTypes.ILoadReport, now: commonTypes.Millis): void {
    this.report = report;
    this.reportAt = now - report.age;
    this.ownAtReport = this.own;
  }

  /** Takes latency over what is usual for that work. */
  observeLatency(ratio: number, now: commonTypes.Millis): void {
    const sample = Math.log(Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, ratio)));
    const faded = this.logSlowness(now);
    // The more the memory has faded, the more a fresh sample counts.
    const weight = Math.max(SLOWNESS_WEIGHT, 1 - this.fading(now));
    this.slowness = faded + (sample - faded) * weight;
    this.slownessAt = now;
  }

  /** A lower bound of latency over the usual, of a call that still runs: counts only when it is worse. */
  observeRunning(ratio: number, now: commonTypes.Millis): void {
    if (Math.log(ratio) > this.logSlowness(now)) {
      this.observeLatency(ratio, now);
    }
  }

  /** Logarithm of slowness, fading while there is no evidence. */
  logSlowness(now: commonTypes.Millis): number {
    return this.slowness * this.fading(now);
  }

  /** Part of the memory of slowness that is left, 0 to 1. */
  private fading(now: commonTypes.Millis): number {
    return 2 ** (-(now - this.slownessAt) / this.options.stragglerHalfLifeMs);
  }

  /** Calls of others by the last report; undefined before the first. */
  get reportedOtherCalls(): number | undefined {
    if (!this.report) {
      return undefined;
    }
    return Math.max(0, this.report.running + this.report.waiting - this.ownAtReport);
  }

  /**
   * Calls in flight here: our own, and those of others. With its age a report counts less and `usual`, what
   * the peers report, counts more: an endpoint that has not answered lately is not an empty one.
   */
  load(now: commonTypes.Millis, usual: number): number {
    const others = this.reportedOtherCalls ?? usual;
    const age = Math.max(0, now - this.reportAt);
    const fresh = 2 ** (-age / this.options.reportHalfLifeMs);
    return this.own + usual + (others - usual) * fresh;
  }

  /** Forgets what was learnt: the endpoint is a new incarnation. */
  reset(): void {
    this.report = undefined;
    this.slowness = 0;
    this.health.reset();
  }
}
