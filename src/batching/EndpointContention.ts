import * as rendezvousHash from '../common/RendezvousHash.js';
import type * as commonTypes from '../common/Types.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';

/** Growth of the time between calls with each call that finds its endpoint full. */
const FULL_RATIO = 2;
/** Change of the time between calls with each other call. */
const ACCEPTED_RATIO = 0.8;
/**
 * Longest time between calls, as a part of the one that gives all VMs the same share of the endpoints: at times some VMs
 * have nothing to send.
 */
const MAX_INTERVAL_RATIO = 0.5;
/** Weight of a new call in the average ratio of accepted calls. */
const SMOOTHING_RATIO = 0.2;
/** Lower bound of that ratio in estimates. */
const MIN_ACCEPTED_RATIO = 0.1;

/** Components that the contention depends on. */
export interface IEndpointContentionDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly directory: endpointDirectory.EndpointDirectory;
  /** Name of this VM. */
  readonly vm: string;
  /** Number of VMs that share the endpoints. */
  readonly vmCount: () => number;
}

interface IServiceState {
  readonly limits: routing.IBatchLimits;
  /** Mean time between two calls of this VM; 0 while endpoints are not full. */
  interval: commonTypes.Millis;
  /** Average ratio of calls that find their endpoint not full. */
  acceptedRatio: number;
  /** Time of the next call at the earliest, on the monotonic clock. */
  nextCallAt: commonTypes.Millis;
}

/**
 * Spaces the calls of a VM to stage endpoints that other VMs use too while nobody plans for all. Each call that finds an
 * endpoint full doubles the time between calls to its service, up to a part of the time that gives each VM the same
 * share; each other call shortens it. Items that wait meanwhile share a call. VMs prefer different endpoints, and admit
 * what their share of all endpoints serves.
 *
 * @example
 * const contention = new EndpointContention({ clock, random, directory, vm: 'entry-3', vmCount });
 * contention.configure(table.services.values());
 */
export class EndpointContention implements rateLimits.IEndpointRateLimiter {
  private readonly services = new Map<string, IServiceState>();

  private serviceOf: ReadonlyMap<string, string> = new Map();

  /** Starts without services; `configure` supplies them. */
  constructor(private readonly deps: IEndpointContentionDependencies) {
    deps.directory.onChange(({ endpoints }) => {
      this.serviceOf = new Map(endpoints.map(({ id, service }) => [id, service]));
    });
  }

  /** Applies the limits of the stage services. */
  configure(services: Iterable<routing.IService>): void {
    [...services].forEach(({ name, batch }) => {
      if (batch !== undefined) {
        const state = this.services.get(name) ?? { interval: 0, acceptedRatio: 1, nextCallAt: 0 };
        this.services.set(name, { ...state, limits: batch });
      }
    });
  }

  /** Weight of an endpoint for this VM, between 0 and 1; other VMs give the endpoints other weights. */
  weightOf(endpointId: string): number {
    return rendezvousHash.hash(`${this.deps.vm}/${endpointId}`) / 2 ** 32;
  }

  /** Records whether a call found its endpoint full. */
  recordCall(endpointId: string, isFull: boolean): void {
    const service = this.serviceOf.get(endpointId) ?? '';
    const state = this.services.get(service);
    if (state === undefined) {
      return;
    }
    state.acceptedRatio += SMOOTHING_RATIO * ((isFull ? 0 : 1) - state.acceptedRatio);
    const { interval, limits } = state;
    if (isFull) {
      const longest = MAX_INTERVAL_RATIO * this.shareIntervalOf(service, limits);
      state.interval = Math.min(longest, Math.max(limits.callCost, FULL_RATIO * interval));
      state.nextCallAt = this.deps.clock.monotonic() + this.drawPause(state);
    } else {
      const shorter = ACCEPTED_RATIO * interval;
      state.interval = shorter < limits.callCost ? 0 : shorter;
    }
  }

  /** Calls a second with which all VMs together keep the endpoint busy, divided by their number. */
  rateOf(endpointId: string): number | undefined {
    const service = this.serviceOf.get(endpointId) ?? '';
    const state = this.services.get(service);
    if (state === undefined || this.deps.vmCount() <= 1) {
      return undefined;
    }
    const count = Math.max(1, this.deps.directory.ready(service).length);
    return 1000 / (this.shareIntervalOf(service, state.limits) * count);
  }

  /** @inheritdoc */
  delayOf(endpointId: string): commonTypes.Millis {
    return this.delayOfService(this.serviceOf.get(endpointId) ?? '');
  }

  /** @inheritdoc */
  take(endpointId: string): boolean {
    const service = this.serviceOf.get(endpointId) ?? '';
    const state = this.services.get(service);
    if (state === undefined) {
      return true;
    }
    if (this.delayOfService(service) > 0) {
      return false;
    }
    state.nextCallAt = this.deps.clock.monotonic() + this.drawPause(state);
    return true;
  }

  /** Time until the next call to a service. */
  delayOfService(service: string): commonTypes.Millis {
    const { nextCallAt } = this.services.get(service) ?? { nextCallAt: 0 };
    return Math.max(0, nextCallAt - this.deps.clock.monotonic());
  }

  /** Estimated time until a call to a service finds its endpoint not full. */
  expectedDelayOf(service: string): commonTypes.Millis {
    const state = this.services.get(service);
    if (state === undefined) {
      return 0;
    }
    const retries = 1 / Math.max(MIN_ACCEPTED_RATIO, state.acceptedRatio) - 1;
    return this.delayOfService(service) + retries * state.interval;
  }

  private drawPause({ interval }: IServiceState): commonTypes.Millis {
    return interval * (0.5 + this.deps.random.next());
  }

  /** Time between calls with which all VMs together keep all endpoints of a service busy. */
  private shareIntervalOf(service: string, limits: routing.IBatchLimits): commonTypes.Millis {
    const { callCost, itemCost, maxItemsPerCall, maxConcurrentCalls } = limits;
    const callTime = callCost + itemCost * maxItemsPerCall;
    const count = Math.max(1, this.deps.directory.ready(service).length);
    return (callTime * this.deps.vmCount()) / (count * maxConcurrentCalls);
  }
}
