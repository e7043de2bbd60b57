import type * as commonTypes from '../../common/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';

/** Factor of one multiplicative decrease of the limit. */
const DECREASE_FACTOR = 0.9;
/** Fraction of the limit that one increase adds. */
const INCREASE_RATIO = 0.05;
/** Fraction by which a baseline rises at each batch, so that an old minimum expires. */
const BASELINE_DRIFT_RATIO = 0.01;
/** Latency samples averaged into one baseline candidate. */
const BATCH_SAMPLES = 32;
/** Maximum number of kinds of work with a baseline; one more clears all baselines. */
const MAX_WORK_KINDS = 256;

interface IBaseline {
  sum: number;
  count: number;
  /** Recent minimum of the batch means in milliseconds; undefined before the first batch. */
  minMean: commonTypes.Millis | undefined;
}

/**
 * Adaptive limit on calls in flight in one pool. Each latency is divided by the baseline of its kind of
 * work, which is the recent minimum of the batch means and stands for the latency without queueing. A high
 * mean of these ratios indicates queueing at the endpoints: the limit then decreases by a tenth. It
 * increases by a twentieth when the mean is low and the limit was reached.
 */
export class ConcurrencyLimit {
  private value: number;

  private ratioSum = 0;

  private ratioCount = 0;

  private refusals = 0;

  private limitReached = false;

  private readonly baselines = new Map<string, IBaseline>();

  /** Starts with the initial concurrency per endpoint, times the number of endpoints. */
  constructor(
    private readonly options: decisionOptions.ILimitOptions,
    private endpoints: number,
  ) {
    this.value = options.initialConcurrencyPerEndpoint * Math.max(1, endpoints);
  }

  /** Maximum number of calls in flight. */
  get limit(): number {
    return Math.floor(this.value);
  }

  /** Scales the limit in proportion to a new number of endpoints. */
  resize(endpoints: number): void {
    if (endpoints === this.endpoints) {
      return;
    }
    this.value *= Math.max(1, endpoints) / Math.max(1, this.endpoints);
    this.endpoints = endpoints;
    this.clampLimit();
  }

  /**
   * Records a successful call of the kind of work `key` with its latency in milliseconds. `inFlight`
   * includes this call.
   */
  observe(key: string, latency: commonTypes.Millis, inFlight: number): void {
    this.limitReached = this.limitReached || inFlight >= this.limit;
    const baseline = this.updateBaseline(key, latency);
    if (baseline === undefined) {
      return;
    }
    this.ratioSum += latency / baseline;
    this.ratioCount += 1;
    if (this.ratioCount >= Math.max(this.options.stepSamples, this.limit)) {
      this.adjustLimit();
    }
  }

  /** Records that an endpoint refused a call for lack of capacity. */
  observeRefusal(): void {
    this.refusals += 1;
  }

  private updateBaseline(key: string, latency: commonTypes.Millis): commonTypes.Millis | undefined {
    const entry = this.baselines.get(key) ?? this.createBaseline(key);
    entry.sum += latency;
    entry.count += 1;
    if (entry.count >= BATCH_SAMPLES) {
      const mean = Math.max(Number.MIN_VALUE, entry.sum / entry.count);
      entry.minMean = Math.min(mean, (entry.minMean ?? mean) * (1 + BASELINE_DRIFT_RATIO));
      entry.sum = 0;
      entry.count = 0;
    }
    return entry.minMean;
  }

  private createBaseline(key: string): IBaseline {
    if (this.baselines.size >= MAX_WORK_KINDS) {
      this.baselines.clear();
    }
    const entry: IBaseline = { sum: 0, count: 0, minMean: undefined };
    this.baselines.set(key, entry);
    return entry;
  }

  private adjustLimit(): void {
    const meanRatio = this.ratioSum / this.ratioCount;
    const congested = meanRatio > this.options.shrinkRatio || this.refusals * 10 > this.ratioCount;
    if (congested) {
      this.value *= DECREASE_FACTOR;
    } else if (this.limitReached && meanRatio < this.options.growRatio) {
      this.value += Math.max(1, this.value * INCREASE_RATIO);
    }
    this.clampLimit();
    this.ratioSum = 0;
    this.ratioCount = 0;
    this.refusals = 0;
    this.limitReached = false;
  }

  private clampLimit(): void {
    const endpoints = Math.max(1, this.endpoints);
    const min = this.options.minConcurrencyPerEndpoint * endpoints;
    const max = this.options.maxConcurrencyPerEndpoint * endpoints;
    this.value = Math.min(max, Math.max(min, this.value));
  }
}
