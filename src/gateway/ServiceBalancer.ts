import type * as commonTypes from '../common/Types.js';
import * as relativeTimes from '../placing/RelativeTime.js';
import * as reportedSlowdown from '../placing/ReportedSlowdown.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** Weight of a new sample in the moving average of an endpoint's latency. */
const LATENCY_SAMPLE_WEIGHT = 0.2;
/** The same for an endpoint that reports slowdowns, whose latency without them changes little. */
const STEADY_SAMPLE_WEIGHT = 0.05;
/** Endpoints that report slowdowns are drawn with weights of this power of their cost. */
const DRAW_EXPONENT = 8;
/** Assumed latency of an endpoint that has not responded yet. */
const INITIAL_LATENCY_MS = 60;
/** Time over which the weight of a load report falls linearly from 1 to 0. */
const LOAD_REPORT_LIFETIME_MS = 1000;
/** Duration of the first ejection of an endpoint that failed; doubles with each further failure in a row. */
const INITIAL_EJECTION_MS = 500;
/** Maximum duration of an ejection. */
const MAX_EJECTION_MS = 4000;
/** An endpoint whose latency exceeds the median by more than this factor ranks last, except for trials. */
const SLOW_LATENCY_FACTOR = 3;
/** Interval between trials of a slow endpoint. */
const SLOW_TRIAL_INTERVAL_MS = 3000;
/** Cost of an endpoint in another availability zone, added to its estimated latency. */
const ZONE_COST_MS = 4;
/** Failure rate, as a moving average, above which a failure ejects the endpoint. */
const UNHEALTHY_FAILURE_RATIO = 0.45;
/** Weight of a new sample in the moving average of an endpoint's failure rate. */
const FAILURE_SAMPLE_WEIGHT = 0.15;

/** Statistics of one endpoint; times are on the monotonic clock. */
interface IEndpointStats {
  /** Calls of this VM in progress. */
  running: number;
  /** Moving average without the slowdowns that the endpoint reports; INITIAL_LATENCY_MS before the first response. */
  latency: commonTypes.Millis;
  readonly slowdown: reportedSlowdown.ReportedSlowdown;
  /** Whether the endpoint has responded to this VM. */
  hasResponded: boolean;
  /** Moving average of failed calls, 0 to 1. */
  failureRate: number;
  /** Failures in a row that ejected the endpoint. */
  consecutiveEjections: number;
  ejectedUntil: commonTypes.Millis;
  lastUsedAt: commonTypes.Millis;
  /** Last load report. */
  load: types.IEndpointLoad | undefined;
  loadAt: commonTypes.Millis;
}

/**
 * Outcome of a call, as it reflects on its endpoint: `error` is a response with status 500 or above, `lost` no complete
 * and authentic response, `refused` a rejection without execution, `limited` a rejection by an endpoint that names a rate
 * limit, `cancelled` a call that this VM abandoned.
 */
export type CallOutcome = 'ok' | 'error' | 'lost' | 'refused' | 'limited' | 'cancelled';

/** Restricts the choice of an endpoint. */
export interface IChoiceOptions {
  /** Ids of endpoints that are not chosen. */
  readonly excluded: readonly string[];
  /** Whether endpoints that name a rate limit are chosen; a hedged attempt leaves their rate to first attempts. */
  readonly allowsLimited: boolean;
}

/**
 * Chooses an endpoint of a plain service by its average latency, the calls of this VM in progress there and its last
 * load report. An endpoint that reports slowdowns is expected to take its average latency times the present one. Ejects endpoints that crash, reject requests or fail a part of them, and avoids slow ones.
 */
export class ServiceBalancer {
  private readonly statsById = new Map<string, IEndpointStats>();

  /** Chooses among the endpoints of `directory`; prefers those in `availabilityZone`, the zone of this VM. */
  constructor(
    private readonly directory: endpointDirectory.EndpointDirectory,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly availabilityZone: string,
    private readonly permits: rateLimits.IPermitService,
  ) {
    directory.onChange(() => this.removeStale());
  }

  /**
   * Returns the endpoint with the lowest cost; undefined if there is none. Uses ejected endpoints only if all others
   * are ejected, and none whose rate limit allows no request now.
   */
  choose(
    service: string,
    { excluded, allowsLimited }: IChoiceOptions,
  ): routing.IEndpoint | undefined {
    const now = this.clock.monotonic();
    const untried = this.directory
      .ready(service)
      .filter(({ id }) => !excluded.includes(id) && this.permits.delayOf(id) === 0)
      .filter(({ id }) => allowsLimited || !this.permits.isLimited(id))
      .map((endpoint) => ({ endpoint, stats: this.statsOf(endpoint.id) }));
    const healthy = untried.filter(({ stats }) => stats.ejectedUntil <= now);
    const candidates = healthy.length > 0 ? healthy : untried;
    const latencies = candidates.map(({ stats }) => stats.latency).sort((a, b) => a - b);
    const median = latencies[Math.floor((latencies.length - 1) / 2)] ?? INITIAL_LATENCY_MS;
    const ranked = candidates
      .map(({ endpoint, stats }) => {
        const average = this.expectedLatency(endpoint, stats);
        const latency = ServiceBalancer.presentLatency(average, stats.slowdown, median, now);
        return { endpoint, cost: this.cost(endpoint, { ...stats, latency }, median, now) };
      })
      .sort((a, b) => a.cost - b.cost);
    const reports = candidates.some(({ stats }) => stats.slowdown.isKnown);
    return reports ? this.draw(ranked) : ranked[0]?.endpoint;
  }

  /** Whether a service has endpoints, all of them in zones out of service. */
  isOutOfService(service: string): boolean {
    return this.directory.isOutOfService(service);
  }

  /** Time until the rate limits of a service's endpoints allow another request; 0 if they do now. */
  limitDelay(service: string): commonTypes.Millis {
    const delays = this.directory.ready(service).map(({ id }) => this.permits.delayOf(id));
    return delays.length === 0 ? 0 : Math.min(...delays);
  }

  /** Returns the median of the average latencies of a service's endpoints. */
  medianLatency(service: string): commonTypes.Millis {
    const now = this.clock.monotonic();
    const latencies = this.directory
      .ready(service)
      .map(({ id }) => this.statsOf(id))
      .map(({ latency, slowdown }) => latency * slowdown.at(now))
      .sort((a, b) => a - b);
    return latencies[Math.floor((latencies.length - 1) / 2)] ?? INITIAL_LATENCY_MS;
  }

  /** Records the start of a call. */
  recordStart(endpointId: string): void {
    const stats = this.statsOf(endpointId);
    stats.running += 1;
    stats.lastUsedAt = this.clock.monotonic();
  }

  /** Records the outcome of a call, its duration `took`, and the load report of its response, if any. */
  recordEnd(
    endpointId: string,
    outcome: CallOutcome,
    took: commonTypes.Millis,
    load?: types.IEndpointLoad,
  ): void {
    const stats = this.statsOf(endpointId);
    const now = this.clock.monotonic();
    stats.running = Math.max(0, stats.running - 1);
    if (load !== undefined) {
      stats.load = load;
      stats.loadAt = now;
      if (load.slowdown !== undefined) {
        stats.slowdown.record(load.slowdown, now);
      }
    }
    const weight = stats.slowdown.isKnown ? STEADY_SAMPLE_WEIGHT : LATENCY_SAMPLE_WEIGHT;
    const usualTook = took / (load?.slowdown ?? stats.slowdown.at(now));
    if (outcome === 'limited') {
      return;
    }
    if (outcome === 'cancelled') {
      // The call would have taken at least this long, so that the sample may only raise the average.
      stats.latency = Math.max(stats.latency, stats.latency + weight * (usualTook - stats.latency));
      return;
    }
    if (outcome === 'ok' || outcome === 'error') {
      stats.hasResponded = true;
      stats.latency += weight * (usualTook - stats.latency);
    }
    stats.failureRate += FAILURE_SAMPLE_WEIGHT * ((outcome === 'ok' ? 0 : 1) - stats.failureRate);
    const isUnhealthy =
      outcome === 'lost' || outcome === 'refused' || stats.failureRate > UNHEALTHY_FAILURE_RATIO;
    if (outcome !== 'ok' && isUnhealthy) {
      stats.consecutiveEjections += 1;
      stats.ejectedUntil =
        now +
        Math.min(INITIAL_EJECTION_MS * 2 ** (stats.consecutiveEjections - 1), MAX_EJECTION_MS);
    } else if (outcome === 'ok') {
      stats.consecutiveEjections = 0;
    }
  }

  /**
   * Average latency of an endpoint. One that names a rate limit gets so few requests that many VMs have none of its
   * responses: it counts as fast as the other endpoints, so that the rate that it offers is used.
   */
  private expectedLatency(endpoint: routing.IEndpoint, stats: IEndpointStats): commonTypes.Millis {
    if (stats.hasResponded || !this.permits.isLimited(endpoint.id)) {
      return stats.latency;
    }
    const latencies = this.directory
      .ready(endpoint.service)
      .map(({ id }) => this.statsOf(id))
      .filter(({ hasResponded }) => hasResponded)
      .map(({ latency }) => latency)
      .sort((a, b) => a - b);
    return latencies[Math.floor((latencies.length - 1) / 2)] ?? stats.latency;
  }

  /** Estimated latency in milliseconds, plus penalties for another zone and for slow endpoints, which rank last. */
  private cost(
    endpoint: routing.IEndpoint,
    stats: IEndpointStats,
    median: commonTypes.Millis,
    now: commonTypes.Millis,
  ): number {
    const reportAge = now - stats.loadAt;
    const reportWeight = Math.max(0, 1 - reportAge / LOAD_REPORT_LIFETIME_MS);
    const reportedLoad = stats.load === undefined ? 0 : stats.load.running + 2 * stats.load.waiting;
    const load = Math.max(stats.running, reportedLoad * reportWeight) / Math.max(1, endpoint.slots);
    const zoneCost = endpoint.availabilityZone === this.availabilityZone ? 0 : ZONE_COST_MS;
    const isSlow =
      stats.latency > SLOW_LATENCY_FACTOR * median &&
      now - stats.lastUsedAt < SLOW_TRIAL_INTERVAL_MS;
    const slowCost = isSlow ? 1000 : 0;
    return stats.latency * (1 + 2 * load) * (0.9 + this.random.next() * 0.2) + zoneCost + slowCost;
  }

  /**
   * Latency that is expected now by an average one. At an endpoint that reports slowdowns, averages near the median count
   * as the median: they differ by chance.
   */
  private static presentLatency(
    average: commonTypes.Millis,
    slowdown: reportedSlowdown.ReportedSlowdown,
    median: commonTypes.Millis,
    now: commonTypes.Millis,
  ): commonTypes.Millis {
    return slowdown.isKnown
      ? median * relativeTimes.relativeTime(average / median) * slowdown.at(now)
      : average;
  }

  /** Draws an endpoint, a costlier one less often: the cheapest of all would get the requests of all VMs at once. */
  private draw(
    ranked: readonly { readonly endpoint: routing.IEndpoint; readonly cost: number }[],
  ): routing.IEndpoint | undefined {
    const weights = ranked.map(({ cost }) => cost ** -DRAW_EXPONENT);
    let rest = this.random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    const at = weights.findIndex((weight) => {
      rest -= weight;
      return rest < 0;
    });
    return (ranked[at] ?? ranked[0])?.endpoint;
  }

  private statsOf(id: string): IEndpointStats {
    const present = this.statsById.get(id);
    if (present !== undefined) {
      return present;
    }
    const initial: IEndpointStats = {
      running: 0,
      latency: INITIAL_LATENCY_MS,
      slowdown: new reportedSlowdown.ReportedSlowdown(),
      hasResponded: false,
      failureRate: 0,
      consecutiveEjections: 0,
      ejectedUntil: 0,
      lastUsedAt: 0,
      load: undefined,
      loadAt: 0,
    };
    this.statsById.set(id, initial);
    return initial;
  }

  private removeStale(): void {
    const present = new Set(this.directory.current.endpoints.map((endpoint) => endpoint.id));
    [...this.statsById.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.statsById.delete(id));
  }
}
