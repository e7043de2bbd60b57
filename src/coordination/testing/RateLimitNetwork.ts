import * as seededRandom from '../../common/SeededRandom.js';
import type * as virtualClock from '../../common/testing/VirtualClock.js';
import type * as commonTypes from '../../common/Types.js';
import type * as rateLimitAudit from '../../ratelimit/testing/RateLimitAudit.js';
import * as simulatedCoordinator from './SimulatedCoordinator.js';
import * as simulatedEndpoint from './SimulatedEndpoint.js';
import * as simulatedVm from './SimulatedVm.js';

/** Interval at which a coordinator reads the endpoint list. */
const LIST_INTERVAL_MS = 900;

/** A fault that a network can be given. */
export type NetworkFault = 'successor' | 'restart' | 'all-links' | 'one-link';
const FAULTS: readonly NetworkFault[] = ['successor', 'restart', 'all-links', 'one-link'];

/** Entry VMs and coordinators before one endpoint that names a rate limit, in virtual time. */
export class RateLimitNetwork {
  private readonly random: commonTypes.IRandom;

  private readonly vms: readonly simulatedVm.SimulatedVm[];

  private readonly endpoint: simulatedEndpoint.SimulatedEndpoint;

  private coordinator: simulatedCoordinator.SimulatedCoordinator;

  /** Connects `vmCount` VMs to a first coordinator. */
  constructor(
    private readonly clock: virtualClock.VirtualClock,
    vmCount: number,
    seed: number,
  ) {
    this.random = new seededRandom.SeededRandom(seed);
    this.vms = Array.from(
      { length: vmCount },
      (_, at) => new simulatedVm.SimulatedVm(`vm-${at}`, clock, this.random, vmCount),
    );
    this.endpoint = new simulatedEndpoint.SimulatedEndpoint(clock, this.random);
    this.coordinator = new simulatedCoordinator.SimulatedCoordinator(clock);
    this.vms.forEach(({ link }) => link.connect(this.coordinator));
  }

  /** Requests that arrived at the endpoint. */
  get audit(): rateLimitAudit.RateLimitAudit {
    return this.endpoint.audit;
  }

  /** The endpoint names `limit` requests per second from now on, or none. */
  setLimit(limit: number | undefined): void {
    this.audit.setLimit(simulatedEndpoint.ENDPOINT_ID, limit);
  }

  /** Callers send `rate` requests per second to random VMs for `duration`. */
  async load(rate: number, duration: commonTypes.Millis): Promise<void> {
    const end = this.clock.monotonic() + duration;
    while (this.clock.monotonic() < end) {
      void this.randomVm().request(this.endpoint);
      await this.clock.advance((-Math.log(1 - this.random.next()) * 1000) / rate);
    }
  }

  /** The endpoint is cold for `duration`; the coordinator reads so in the endpoint list. */
  startCold(duration: commonTypes.Millis): void {
    const end = this.clock.monotonic() + duration;
    const readList = (): void => {
      const left = end - this.clock.monotonic();
      if (left > 0) {
        this.coordinator.cold.recordListed([{ endpointId: simulatedEndpoint.ENDPOINT_ID, left }]);
        this.clock.setTimer(LIST_INTERVAL_MS, readList);
      }
    };
    readList();
  }

  /** Injects one fault: a new coordinator, a restart of a VM, or the loss of all connections or of one. */
  injectFault(fault = FAULTS[this.random.nextInt(FAULTS.length)]): void {
    if (fault === 'successor') {
      this.replaceCoordinator();
    } else if (fault === 'restart') {
      const vm = this.randomVm();
      vm.restart();
      this.audit.recordRestart(vm.name);
    } else if (fault === 'all-links') {
      this.vms.forEach((vm) => vm.link.disconnect());
    } else {
      this.randomVm().link.disconnect();
    }
    this.vms
      .filter(({ link }) => !link.isConnected)
      .forEach((vm) => this.reconnect(vm, this.random.next() * 6000));
  }

  /** A successor takes over; the predecessor, without a quorum, keeps some VMs for a while. */
  private replaceCoordinator(): void {
    const predecessor = this.coordinator;
    predecessor.isConfirmed = false;
    this.coordinator = new simulatedCoordinator.SimulatedCoordinator(this.clock);
    this.vms.forEach((vm) => this.reconnect(vm, this.random.next() * 4000));
  }

  private reconnect(vm: simulatedVm.SimulatedVm, delay: commonTypes.Millis): void {
    this.clock.setTimer(delay, () => vm.link.connect(this.coordinator));
  }

  private randomVm(): simulatedVm.SimulatedVm {
    return this.vms[this.random.nextInt(this.vms.length)] as simulatedVm.SimulatedVm;
  }
}
