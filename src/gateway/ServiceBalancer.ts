import type * as commonTypes from '../common/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** Share of a new observation in the learnt time of an endpoint. */
const TIME_SHARE = 0.2;
/** Assumed time of an endpoint that has not answered yet. */
const FIRST_TIME_MS = 60;
/** A load report counts fully at first and fades out over this time. */
const LOAD_LIFE_MS = 1000;
/** First wait of an endpoint that failed; doubles with each further failure in a row. */
const EJECT_MS = 500;
const MAX_EJECT_MS = 4000;
/** An endpoint that is this many times slower than the median is left out, but for a trial now and then. */
const SLOW_FACTOR = 3;
const SLOW_TRIAL_MS = 3000;
/** Cost of another availability zone against the endpoint's own time. */
const ZONE_COST_MS = 4;
/** Share of failed requests, learnt, that counts as a sign of a sick endpoint. */
const SICK_SHARE = 0.45;
const FAILURE_SHARE = 0.15;

interface IKnown {
  running: number;
  time: commonTypes.Millis;
  failing: number;
  failures: number;
  ejectedUntil: commonTypes.Millis;
  lastUse: commonTypes.Millis;
  load: types.IEndpointLoad | undefined;
  loadAt: commonTypes.Millis;
}

/** How a call ended, as far as its endpoint is to blame. */
export type CallOutcome = 'ok' | 'error' | 'lost' | 'refused' | 'cancelled';

/**
 * Chooses an endpoint of a plain service by its learnt time, this VM's own requests there and its last load
 * report. Answers replicas that crash, turn slow, fail a part of their requests or refuse.
 */
export class ServiceBalancer {
  private readonly known = new Map<string, IKnown>();

  /** Chooses among the endpoints of `directory`. */
  constructor(
    private readonly directory: endpointDirectory.EndpointDirectory,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly availabilityZone: string,
  ) {
    directory.onChange(() => this.forget());
  }

  /** Chooses an endpoint that is not in `tried`; undefined when there is none. */
  choose(service: string, tried: readonly string[]): routing.IEndpoint | undefined {
    const now = this.clock.monotonic();
    const fresh = this.directory
      .ready(service)
      .filter((endpoint) => !tried.includes(endpoint.id))
      .map((endpoint) => ({ endpoint, known: this.of(endpoint.id) }));
    const sound = fresh.filter(({ known }) => known.ejectedUntil <= now);
    const pool = sound.length > 0 ? sound : fresh;
    const times = pool.map(({ known }) => known.time).sort((a, b) => a - b);
    const median = times[Math.floor((times.length - 1) / 2)] ?? FIRST_TIME_MS;
    const ranked = pool
      .map(({ endpoint, known }) => ({ endpoint, cost: this.cost(endpoint, known, median, now) }))
      .sort((a, b) => a.cost - b.cost);
    return ranked[0]?.endpoint;
  }

  /** Median of the learnt times of a service. */
  medianLatency(service: string): commonTypes.Millis {
    const times = this.directory
      .ready(service)
      .map((endpoint) => this.of(endpoint.id).time)
      .sort((a, b) => a - b);
    return times[Math.floor((times.length - 1) / 2)] ?? FIRST_TIME_MS;
  }

  /** Notes a request that is sent. */
  recordStart(endpointId: string): void {
    const known = this.of(endpointId);
    known.running += 1;
    known.lastUse = this.clock.monotonic();
  }

  /** Notes how a request ended. */
  recordEnd(
    endpointId: string,
    end: CallOutcome,
    took: commonTypes.Millis,
    load?: types.IEndpointLoad,
  ): void {
    const known = this.of(endpointId);
    const now = this.clock.monotonic();
    known.running = Math.max(0, known.running - 1);
    if (load !== undefined) {
      known.load = load;
      known.loadAt = now;
    }
    if (end === 'cancelled') {
      known.time = Math.max(known.time, known.time + TIME_SHARE * (took - known.time));
      return;
    }
    if (end === 'ok' || end === 'error') {
      known.time += TIME_SHARE * (took - known.time);
    }
    known.failing += FAILURE_SHARE * ((end === 'ok' ? 0 : 1) - known.failing);
    const isSick = end === 'lost' || end === 'refused' || known.failing > SICK_SHARE;
    if (end !== 'ok' && isSick) {
      known.failures += 1;
      known.ejectedUntil = now + Math.min(EJECT_MS * 2 ** (known.failures - 1), MAX_EJECT_MS);
    } else if (end === 'ok') {
      known.failures = 0;
    }
  }

  private cost(
    endpoint: routing.IEndpoint,
    known: IKnown,
    median: commonTypes.Millis,
    now: commonTypes.Millis,
  ): number {
    const age = now - known.loadAt;
    const freshness = Math.max(0, 1 - age / LOAD_LIFE_MS);
    const reported = known.load === undefined ? 0 : known.load.running + 2 * known.load.waiting;
    const busy = Math.max(known.running, reported * freshness) / Math.max(1, endpoint.slots);
    const near = endpoint.availabilityZone === this.availabilityZone ? 0 : ZONE_COST_MS;
    const isSlow = known.time > SLOW_FACTOR * median && now - known.lastUse < SLOW_TRIAL_MS;
    const penalty = isSlow ? 1000 : 0;
    return known.time * (1 + 2 * busy) * (0.9 + this.random.next() * 0.2) + near + penalty;
  }

  private of(id: string): IKnown {
    const present = this.known.get(id);
    if (present !== undefined) {
      return present;
    }
    const fresh: IKnown = {
      running: 0,
      time: FIRST_TIME_MS,
      failing: 0,
      failures: 0,
      ejectedUntil: 0,
      lastUse: 0,
      load: undefined,
      loadAt: 0,
    };
    this.known.set(id, fresh);
    return fresh;
  }

  private forget(): void {
    const present = new Set(this.directory.current.endpoints.map((endpoint) => endpoint.id));
    [...this.known.keys()].filter((id) => !present.has(id)).forEach((id) => this.known.delete(id));
  }
}
