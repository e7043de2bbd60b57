import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryTypes from '../Types.js';
import * as endpointHealth from './EndpointHealth.js';

/** Minimum weight of a new slowness sample in the moving average. */
const MIN_SAMPLE_WEIGHT = 0.2;
const MAX_SLOWNESS_RATIO = 100;

/** State that this VM keeps for one endpoint: own calls in flight, last load report, slowness and health. */
export class EndpointState {
  /** Whether the endpoint is reserved for a crash suspect that runs here alone or waits to do so. */
  reserved = false;

  private ownCalls = 0;

  /** Failures and ejection. */
  readonly health: endpointHealth.EndpointHealth;

  private lastReport: entryTypes.ILoadReport | undefined;

  private reportedAt: commonTypes.Millis = 0;

  /** Own calls in flight when the last report was received. */
  private ownCallsAtReport = 0;

  /** Moving average of log(latency / median latency of the kind of work), as of `sampledAt`. */
  private sampledLogSlowness = 0;

  private sampledAt: commonTypes.Millis = 0;

  /** Starts healthy, without a load report and with neutral slowness. */
  constructor(
    /** The endpoint as declared in the configuration. */
    readonly endpoint: configTypes.IEndpoint,
    private readonly options: decisionOptions.IRoutingOptions,
  ) {
    this.health = new endpointHealth.EndpointHealth(options);
  }

  /** Number of calls in flight from this VM. */
  get ownCallsInFlight(): number {
    return this.ownCalls;
  }

  /** Records that a call from this VM starts. */
  begin(): void {
    this.ownCalls += 1;
    this.health.recordStart();
  }

  /** Records the outcome of a call from this VM; returns whether it ended an ejection. */
  end(outcome: entryTypes.IAttemptOutcome, now: commonTypes.Millis): boolean {
    this.ownCalls -= 1;
    if (outcome.load) {
      this.observeLoad(outcome.load, now);
    }
    return this.health.recordOutcome(outcome, now);
  }

  /** Records a load report received at `now` (monotonic milliseconds). */
  observeLoad(report: entryTypes.ILoadReport, now: commonTypes.Millis): void {
    this.lastReport = report;
    this.reportedAt = now - report.age;
    this.ownCallsAtReport = this.ownCalls;
  }

  /** Adds a slowness sample: the ratio of a latency to the median of its kind of work. */
  observeLatency(ratio: number, now: commonTypes.Millis): void {
    const sample = Math.log(Math.min(MAX_SLOWNESS_RATIO, Math.max(1 / MAX_SLOWNESS_RATIO, ratio)));
    const decayed = this.logSlowness(now);
    // The more the average has decayed, the more weight the new sample gets.
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 - this.decayFactor(now));
    this.sampledLogSlowness = decayed + (sample - decayed) * weight;
    this.sampledAt = now;
  }

  /** Adds a sample of a call that still runs: `ratio` is a lower bound, so it only raises the average. */
  observeRunning(ratio: number, now: commonTypes.Millis): void {
    if (Math.log(ratio) > this.logSlowness(now)) {
      this.observeLatency(ratio, now);
    }
  }

  /** Logarithm of the slowness ratio; decays towards 0 while no samples arrive. */
  logSlowness(now: commonTypes.Millis): number {
    return this.sampledLogSlowness * this.decayFactor(now);
  }

  /** Fraction of the sampled slowness that still counts at `now`, 0 to 1. */
  private decayFactor(now: commonTypes.Millis): number {
    return 2 ** (-(now - this.sampledAt) / this.options.stragglerHalfLifeMs);
  }

  /** Calls of other VMs according to the last load report; undefined before the first report. */
  get reportedOtherCalls(): number | undefined {
    if (!this.lastReport) {
      return undefined;
    }
    return Math.max(0, this.lastReport.running + this.lastReport.waiting - this.ownCallsAtReport);
  }

  /**
   * Estimates the calls in flight at the endpoint: those of this VM plus those of other VMs. As the report
   * ages, the estimate moves from the reported calls to `peerMean`, the mean over the endpoint's peers, since
   * an endpoint without recent answers is not necessarily idle.
   */
  load(now: commonTypes.Millis, peerMean: number): number {
    const otherCalls = this.reportedOtherCalls ?? peerMean;
    const age = Math.max(0, now - this.reportedAt);
    const reportWeight = 2 ** (-age / this.options.reportHalfLifeMs);
    return this.ownCalls + peerMean + (otherCalls - peerMean) * reportWeight;
  }

  /** Clears the report, slowness and health after the endpoint has restarted as a new incarnation. */
  reset(): void {
    this.lastReport = undefined;
    this.sampledLogSlowness = 0;
    this.health.reset();
  }
}
