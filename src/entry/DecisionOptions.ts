/** Options of admission, retries, deadlines, routing and crash handling: their defaults and their range checks. */
import type * as commonTypes from '../common/Types.js';

/** Options of the admission queues and concurrency limits. */
export interface ILimitOptions {
  /** Concurrency limit per endpoint of a pool before the first latency samples, in calls in flight. */
  readonly initialConcurrencyPerEndpoint: number;
  /** Bounds of the adaptive concurrency limit, in calls in flight per endpoint. */
  readonly minConcurrencyPerEndpoint: number;
  readonly maxConcurrencyPerEndpoint: number;
  /** Maximum queue length per pool; interactive and patient requests are counted separately. */
  readonly maxWaiting: number;
  /** Minimum fraction of a pool's work that patient kinds receive under overload, 0 to 1. */
  readonly patientMinShare: number;
  /** Maximum fraction of a pool's permits that patient kinds may hold at once, 0 to 1. */
  readonly patientMaxShare: number;
  /** Maximum expected queue wait as a fraction of the request's slack before its latest start, 0 to 1. */
  readonly queueWaitRatio: number;
  /**
   * The same fraction for the queues of later stages, checked before the first stage starts so that
   * its work is not wasted.
   */
  readonly laterStageQueueWaitRatio: number;
  /** Ratios of latency to its baseline: above `shrinkRatio` the limit shrinks, below `growRatio` it may grow. */
  readonly shrinkRatio: number;
  readonly growRatio: number;
  /** Minimum number of samples in one adjustment of the concurrency limit. */
  readonly stepSamples: number;
}

/** Options of retries and hedges. */
export interface IRetryOptions {
  /** Retries and hedges that each request adds to the retry budget, as a fraction of one. */
  readonly budgetRatio: number;
  /** Maximum balance of the retry budget per pool, in retries and hedges; also the initial balance. */
  readonly budgetBurst: number;
  /** Maximum attempts of one stage, hedges included. */
  readonly maxAttempts: number;
  /** Quantile of attempt latency after which a hedge may start. */
  readonly hedgeQuantile: number;
  /** Bounds of the delay before a hedge, in multiples of the median latency. */
  readonly hedgeMinMedians: number;
  readonly hedgeMaxMedians: number;
  /**
   * Remaining time at which a hedge may start, in multiples of the observed `startQuantile` latency;
   * earlier hedges are not needed because an answer in time is enough.
   */
  readonly hedgeRemainingTails: number;
  /**
   * The same in multiples of the median; the lesser of the two applies, since the tail latency includes
   * the attempts of stragglers.
   */
  readonly hedgeRemainingMedians: number;
  /** Minimum number of latency samples before hedges start. */
  readonly hedgeMinSamples: number;
  /** Backoff before the next attempt when every endpoint refused, milliseconds. */
  readonly refusedBackoffMs: commonTypes.Millis;
}

/** Options of latency estimates and of the deadline checks across stages. */
export interface IDeadlineOptions {
  /**
   * Age at which a latency window with `minSamples` is replaced, milliseconds; the previous window
   * still counts.
   */
  readonly windowMs: commonTypes.Millis;
  /** Age at which a window is replaced regardless of its number of samples, milliseconds. */
  readonly maxWindowMs: commonTypes.Millis;
  /** Latency quantile of the following stages that is reserved from the time of a running stage. */
  readonly reserveQuantile: number;
  /** Latency quantile of its stage that must fit before the deadline when a queued request starts. */
  readonly startQuantile: number;
  /** Minimum number of samples before a request may be refused on a forecast. */
  readonly minSamples: number;
  /** One in this many requests that are forecast to miss their deadline is admitted, to refresh the estimates. */
  readonly requestsPerProbe: number;
}

/** Options of endpoint selection. */
export interface IRoutingOptions {
  /** Endpoints compared in one selection. */
  readonly candidates: number;
  /** Maximum endpoints of a pool in the subset that this VM uses. */
  readonly subsetSize: number;
  /** Score added for an endpoint in another availability zone, in calls in flight. */
  readonly zonePenalty: number;
  /** Score subtracted for an endpoint that holds the prompt prefix in its cache, in calls in flight. */
  readonly prefixBonus: number;
  /** Age at which a load report has half its weight, milliseconds. */
  readonly reportHalfLifeMs: commonTypes.Millis;
  /** Consecutive failures that eject an endpoint. */
  readonly maxFailures: number;
  /** Bounds of the ejection time, milliseconds. */
  readonly ejectMinMs: commonTypes.Millis;
  readonly ejectMaxMs: commonTypes.Millis;
  /** Maximum fraction of a pool that may be ejected, 0 to 1. */
  readonly ejectMaxShare: number;
  /** Ratio of an endpoint's latency to the median of its peers from which it counts as a straggler. */
  readonly stragglerRatio: number;
  /** Half-life of the slowness estimate without new samples, milliseconds. */
  readonly stragglerHalfLifeMs: commonTypes.Millis;
  /** Maximum number of prompt prefixes tracked. */
  readonly maxPrefixes: number;
}

/** Options of the handling of requests that crash endpoints. */
export interface ICrashOptions {
  /** Number of crashes after which a fingerprint is quarantined. */
  readonly quarantineAfterCrashes: number;
  /** Maximum number of fingerprints tracked. */
  readonly maxFingerprints: number;
  /** Time for which crash records of a fingerprint are kept, milliseconds. */
  readonly blameRetentionMs: commonTypes.Millis;
  /** Timeout of the check whether an endpoint crashed, milliseconds. */
  readonly confirmTimeoutMs: commonTypes.Millis;
  /** Timeout of the crash announcement to the other entry VMs, milliseconds. */
  readonly announceTimeoutMs: commonTypes.Millis;
  /** Maximum fraction of a pool's endpoints that run suspect requests in isolation at once, 0 to 1. */
  readonly maxIsolatedShare: number;
}

/** All options of the request path, by component. */
export interface IDecisionOptions {
  readonly limits: ILimitOptions;
  readonly retry: IRetryOptions;
  readonly deadline: IDeadlineOptions;
  readonly routing: IRoutingOptions;
  readonly crash: ICrashOptions;
}

/** Partial options; missing values come from DEFAULT_DECISION_OPTIONS. */
export type DecisionOverrides = {
  readonly [K in keyof IDecisionOptions]?: Partial<IDecisionOptions[K]>;
};

/** Default values of all options. */
export const DEFAULT_DECISION_OPTIONS: IDecisionOptions = {
  limits: {
    initialConcurrencyPerEndpoint: 4,
    minConcurrencyPerEndpoint: 1,
    maxConcurrencyPerEndpoint: 256,
    maxWaiting: 1024,
    patientMinShare: 0.25,
    patientMaxShare: 0.7,
    queueWaitRatio: 0.6,
    laterStageQueueWaitRatio: 0.35,
    shrinkRatio: 1.6,
    growRatio: 1.3,
    stepSamples: 40,
  },
  retry: {
    budgetRatio: 0.08,
    budgetBurst: 10,
    maxAttempts: 4,
    hedgeQuantile: 0.95,
    hedgeMinMedians: 1.5,
    hedgeMaxMedians: 4,
    hedgeRemainingTails: 1.5,
    hedgeRemainingMedians: 3,
    hedgeMinSamples: 10,
    refusedBackoffMs: 20,
  },
  deadline: {
    windowMs: 10_000,
    maxWindowMs: 60_000,
    reserveQuantile: 0.5,
    startQuantile: 0.99,
    minSamples: 10,
    requestsPerProbe: 50,
  },
  routing: {
    candidates: 4,
    subsetSize: 48,
    zonePenalty: 0.5,
    prefixBonus: 3,
    reportHalfLifeMs: 500,
    maxFailures: 2,
    ejectMinMs: 2_000,
    ejectMaxMs: 30_000,
    ejectMaxShare: 0.5,
    stragglerRatio: 2,
    stragglerHalfLifeMs: 10_000,
    maxPrefixes: 20_000,
  },
  crash: {
    quarantineAfterCrashes: 2,
    maxFingerprints: 10_000,
    blameRetentionMs: 600_000,
    confirmTimeoutMs: 250,
    announceTimeoutMs: 250,
    maxIsolatedShare: 0.5,
  },
};

/** Options that are fractions of one; all others are only bounded below by 0. */
const RATIO_OPTIONS: readonly string[] = [
  'patientMinShare',
  'patientMaxShare',
  'queueWaitRatio',
  'laterStageQueueWaitRatio',
  'budgetRatio',
  'hedgeQuantile',
  'reserveQuantile',
  'startQuantile',
  'ejectMaxShare',
  'maxIsolatedShare',
];

function checkGroup(group: string, values: Readonly<Record<string, number>>): readonly string[] {
  return Object.entries(values).flatMap(([name, value]) => {
    const max = RATIO_OPTIONS.includes(name) ? 1 : Number.MAX_SAFE_INTEGER;
    const inRange = Number.isFinite(value) && value >= 0 && value <= max;
    return inRange ? [] : [`${group}.${name} is ${value}; expected a number from 0 to ${max}`];
  });
}

/**
 * Merges `overrides` into the defaults and checks the ranges.
 *
 * @throws RangeError that lists every value out of range.
 * @example
 * const options = decisionOptions({ retry: { budgetRatio: 0.05 } });
 */
export function decisionOptions(overrides: DecisionOverrides = {}): IDecisionOptions {
  const options: IDecisionOptions = {
    limits: { ...DEFAULT_DECISION_OPTIONS.limits, ...overrides.limits },
    retry: { ...DEFAULT_DECISION_OPTIONS.retry, ...overrides.retry },
    deadline: { ...DEFAULT_DECISION_OPTIONS.deadline, ...overrides.deadline },
    routing: { ...DEFAULT_DECISION_OPTIONS.routing, ...overrides.routing },
    crash: { ...DEFAULT_DECISION_OPTIONS.crash, ...overrides.crash },
  };
  const findings = Object.entries(options).flatMap(([group, values]) =>
    checkGroup(group, values as Readonly<Record<string, number>>),
  );
  if (findings.length > 0) {
    throw new RangeError(findings.join('\n'));
  }
  return options;
}
