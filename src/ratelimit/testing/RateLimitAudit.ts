import type * as commonTypes from '../../common/Types.js';

/** A limit, and a lower one, counts from this time after an endpoint began to name it. */
const LEARNING_TIME_MS = 3000;
/** A VM that is cut off counts from this time after it got an answer that named a limit. */
const REACTION_TIME_MS = 500;
const WINDOW_MS = 4000;
/** Resolution of the limits of a window. */
const CELL_MS = 50;
/** Allowed requests of a window: this ratio of the limit, and BURST_REQUESTS more. */
const ALLOWED_RATIO = 1.5;
const BURST_REQUESTS = 5;

/** Limit that an endpoint names from a time on; undefined while it names none. */
interface IStep {
  readonly at: commonTypes.Millis;
  readonly limit: number | undefined;
}

interface IArrival {
  readonly at: commonTypes.Millis;
  readonly counts: boolean;
}

interface IEndpointRecord {
  readonly steps: IStep[];
  readonly arrivals: IArrival[];
  /** Start of the span in which the endpoint names limits without a pause; undefined while it names none. */
  namesSince: commonTypes.Millis | undefined;
  /** Time of the first answer to each VM in that span. */
  readonly toldAt: Map<string, commonTypes.Millis>;
}

/** The window of an endpoint in which its requests exceed what is allowed most. */
export interface IWorstWindow {
  /** End of the window, in milliseconds after the endpoint first named a limit. */
  readonly at: commonTypes.Millis;
  readonly requests: number;
  readonly allowed: number;
}

/**
 * Counts the requests of endpoints that name a rate limit, in sliding windows over all VMs. A VM in touch with the
 * others counts once they had time to learn the limit, and one that is cut off once it got an answer that named it.
 */
export class RateLimitAudit {
  private readonly records = new Map<string, IEndpointRecord>();

  /** `now` returns a monotonic time in milliseconds. */
  constructor(private readonly now: () => commonTypes.Millis) {}

  /** Records that an endpoint names `limit` requests per second from now on, or none. */
  setLimit(endpointId: string, limit: number | undefined): void {
    const record = this.recordOf(endpointId);
    record.steps.push({ at: this.now(), limit });
    if (limit === undefined) {
      record.namesSince = undefined;
      record.toldAt.clear();
    } else {
      record.namesSince ??= this.now();
    }
  }

  /** Limit that an endpoint names at present. */
  limitOf(endpointId: string): number | undefined {
    return this.records.get(endpointId)?.steps.at(-1)?.limit;
  }

  /** Records a request of `vm` that arrives at an endpoint. */
  recordArrival(endpointId: string, vm: string, isInTouch: boolean): void {
    const { arrivals, namesSince = Number.POSITIVE_INFINITY, toldAt } = this.recordOf(endpointId);
    const at = this.now();
    const told = (toldAt.get(vm) ?? Number.POSITIVE_INFINITY) + REACTION_TIME_MS;
    const counts = at >= namesSince + LEARNING_TIME_MS && (isInTouch || at >= told);
    arrivals.push({ at, counts });
  }

  /** Records an answer of an endpoint to `vm`, which names the present limit. */
  recordAnswer(endpointId: string, vm: string): void {
    const { namesSince, toldAt } = this.recordOf(endpointId);
    if (namesSince !== undefined && !toldAt.has(vm)) {
      toldAt.set(vm, this.now());
    }
  }

  /** Records that a VM has forgotten what endpoints told it, because its process ended. */
  recordRestart(vm: string): void {
    this.records.forEach(({ toldAt }) => toldAt.delete(vm));
  }

  /** Times at which requests arrived at an endpoint, from when it first named a limit. */
  arrivalTimes(endpointId: string): readonly commonTypes.Millis[] {
    const { arrivals, steps } = this.recordOf(endpointId);
    const firstNamedAt = steps.find(({ limit }) => limit !== undefined)?.at ?? 0;
    return arrivals.map(({ at }) => at - firstNamedAt);
  }

  /** The worst window of an endpoint; undefined if no window counts. */
  worstWindow(endpointId: string): IWorstWindow | undefined {
    const { arrivals, steps } = this.recordOf(endpointId);
    const firstNamedAt = steps.find(({ limit }) => limit !== undefined)?.at ?? 0;
    const counted = arrivals.filter(({ counts }) => counts);
    const windows = counted.map(({ at }) => ({
      at: Math.round(at - firstNamedAt),
      requests: counted.filter((other) => other.at <= at && other.at > at - WINDOW_MS).length,
      allowed: ALLOWED_RATIO * RateLimitAudit.integrate(steps, at) + BURST_REQUESTS,
    }));
    return windows.sort((a, b) => b.requests - b.allowed - (a.requests - a.allowed))[0];
  }

  /** Endpoints whose worst window exceeds what is allowed, as text. */
  violations(): readonly string[] {
    return [...this.records.keys()].flatMap((id) => {
      const worst = this.worstWindow(id);
      return worst === undefined || worst.requests <= worst.allowed
        ? []
        : [`${id} got ${worst.requests} requests by ${worst.at} ms, allowed ${worst.allowed}`];
    });
  }

  /**
   * Requests that the limits of a window allow, in cells of CELL_MS; infinite if the endpoint named none during a part of
   * it. VMs have LEARNING_TIME_MS to learn a lower limit.
   */
  private static integrate(steps: readonly IStep[], end: commonTypes.Millis): number {
    let sum = 0;
    for (let until = end; until > end - WINDOW_MS; until -= CELL_MS) {
      const from = until - CELL_MS - LEARNING_TIME_MS;
      const inForce = steps.filter(
        ({ at }, index) => (at < until || index === 0) && (steps[index + 1]?.at ?? until) > from,
      );
      const limits = inForce.map(({ limit }) => limit ?? Number.POSITIVE_INFINITY);
      sum += Math.max(...limits);
    }
    return (sum * CELL_MS) / 1000;
  }

  private recordOf(endpointId: string): IEndpointRecord {
    const present = this.records.get(endpointId);
    if (present !== undefined) {
      return present;
    }
    const created: IEndpointRecord = {
      steps: [],
      arrivals: [],
      namesSince: undefined,
      toldAt: new Map(),
    };
    this.records.set(endpointId, created);
    return created;
  }
}
