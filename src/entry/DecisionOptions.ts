/** Options of the decisions on the request path: one table of defaults, checked in one place. */
import type * as commonTypes from '../common/Types.js';

/** Options of admission and queues. */
export interface ILimitOptions {
  /** Calls in flight per endpoint of a pool before anything is learnt. */
  readonly initialConcurrencyPerEndpoint: number;
  /** Least and most calls in flight per endpoint that learning may reach. */
  readonly minConcurrencyPerEndpoint: number;
  readonly maxConcurrencyPerEndpoint: number;
  /** Waiters per pool, interactive and patient counted apart. */
  readonly maxWaiting: number;
  /** Part of a pool's work that patient kinds get under overload, 0 to 1. */
  readonly patientMinShare: number;
  /** Most of a pool's places that patient kinds may hold at once, 0 to 1. */
  readonly patientMaxShare: number;
  /** Part of a waiter's spare time that the wait it is told to expect may take, 0 to 1. */
  readonly queueWaitRatio: number;
  /** The same for the queues of later stages, before the first: what is begun must not be in vain. */
  readonly laterStageQueueWaitRatio: number;
  /** Latency over its baseline, as a ratio, above which the limit shrinks and below which it may grow. */
  readonly shrinkRatio: number;
  readonly growRatio: number;
  /** Least samples in one step of learning. */
  readonly stepSamples: number;
}

/** Options of retries and hedges. */
export interface IRetryOptions {
  /** Retries and hedges earned by each request, as a share. */
  readonly budgetRatio: number;
  /** Most retries and hedges saved up per pool; also the balance at the start. */
  readonly budgetBurst: number;
  /** Most attempts of one stage, hedges included. */
  readonly maxAttempts: number;
  /** Quantile of attempt latency after which a hedge may start. */
  readonly hedgeQuantile: number;
  /** Least and most multiples of the median that a hedge waits. */
  readonly hedgeMinMedians: number;
  readonly hedgeMaxMedians: number;
  /** A hedge waits until so many learnt tails (`startQuantile`) are left, since an answer in time is enough. */
  readonly hedgeRemainingTails: number;
  /** The same in medians, whichever is less: the tail holds what stragglers took. */
  readonly hedgeRemainingMedians: number;
  /** Least samples before hedges start. */
  readonly hedgeMinSamples: number;
  /** Pause before trying again when every endpoint refused. */
  readonly refusedBackoffMs: commonTypes.Millis;
}

/** Options of the deadline over stages. */
export interface IDeadlineOptions {
  /** Age at which a window of latencies is replaced when it has `minSamples`; the one before still counts. */
  readonly windowMs: commonTypes.Millis;
  /** Age at which a window is replaced however few samples it has. */
  readonly maxWindowMs: commonTypes.Millis;
  /** Quantile of the stages that follow, kept back from a running stage. */
  readonly reserveQuantile: number;
  /** Quantile of its own latency for which a waiter must still have time when it starts. */
  readonly startQuantile: number;
  /** Least samples before a request is refused on a forecast. */
  readonly minSamples: number;
  /** One of so many hopeless requests is let through, to learn whether it still is so. */
  readonly requestsPerProbe: number;
}

/** Options of the choice of endpoint. */
export interface IRoutingOptions {
  /** Candidates compared for one choice. */
  readonly candidates: number;
  /** Most endpoints of a pool that this VM watches. */
  readonly subsetSize: number;
  /** Score added to an endpoint of another availability zone, in calls in flight. */
  readonly zonePenalty: number;
  /** Score taken from an endpoint that holds the prefix, in calls in flight. */
  readonly prefixBonus: number;
  /** Age at which a load report counts half. */
  readonly reportHalfLifeMs: commonTypes.Millis;
  /** Failures in a row that eject an endpoint. */
  readonly ejectAfterFailures: number;
  readonly ejectMinMs: commonTypes.Millis;
  readonly ejectMaxMs: commonTypes.Millis;
  /** Most of a pool that may be ejected, 0 to 1. */
  readonly ejectMaxShare: number;
  /** Slowness against the peers' median from which an endpoint counts as a straggler. */
  readonly stragglerRatio: number;
  /** Time in which the memory of slowness halves when there are no fresh samples. */
  readonly stragglerHalfLifeMs: commonTypes.Millis;
  /** Prefixes remembered. */
  readonly maxPrefixes: number;
}

/** Options of requests that crash endpoints. */
export interface ICrashOptions {
  /** Crashes after which a fingerprint is refused. */
  readonly quarantineAfterCrashes: number;
  /** Fingerprints remembered. */
  readonly maxFingerprints: number;
  /** Time for which blame is remembered. */
  readonly blameRetentionMs: commonTypes.Millis;
  /** Longest wait for the word whether an endpoint crashed. */
  readonly confirmTimeoutMs: commonTypes.Millis;
  /** Longest wait for the other entry VMs to hear of a crash. */
  readonly announceTimeoutMs: commonTypes.Millis;
  /** Most of a pool's endpoints that run suspects alone at once, 0 to 1. */
  readonly maxIsolatedShare: number;
}

/** All options of the decisions. */
export interface IDecisionOptions {
  readonly limits: ILimitOptions;
  readonly retry: IRetryOptions;
  readonly deadline: IDeadlineOptions;
  readonly routing: IRoutingOptions;
  readonly crash: ICrashOptions;
}

/** Options given by the caller; the rest comes from DEFAULT_DECISION_OPTIONS. */
export type DecisionOverrides = {
  readonly [K in keyof IDecisionOptions]?: Partial<IDecisionOptions[K]>;
};

/** The one table of defaults. */
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
    ejectAfterFailures: 2,
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

const SHARES: readonly string[] = [
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
    const most = SHARES.includes(name) ? 1 : Number.MAX_SAFE_INTEGER;
    const fits = Number.isFinite(value) && value >= 0 && value <= most;
    return fits ? [] : [`${group}.${name} is ${value}; write a number from 0 to ${most}`];
  });
}

/**
 * The options in force: the defaults with the caller's changes.
 *
 * @throws RangeError that names every value out of its range.
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
  const faults = Object.entries(options).flatMap(([group, values]) =>
    checkGroup(group, values as Readonly<Record<string, number>>),
  );
  if (faults.length > 0) {
    throw new RangeError(faults.join('\n'));
  }
  return options;
}
