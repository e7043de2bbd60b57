import * as seededRandom from '../../common/SeededRandom.js';
import type * as virtualClock from '../../common/testing/VirtualClock.js';
import type * as commonTypes from '../../common/Types.js';
import * as blameCoordinator from './BlameCoordinator.js';
import * as blameVm from './BlameVm.js';
import * as crashingEngine from './CrashingEngine.js';

const ENGINE_COUNT = 8;
const ZONES = ['a', 'b'];
/** Parts that sound requests share besides the first one. */
const SHARED_PARTS = 40;
/** Time in which a VM finds a new coordinator, at most. */
const MAX_SEARCH_MS = 1500;

/** Faults that no request causes. */
export type NetworkFault = 'kill' | 'zone' | 'reset' | 'coordinator' | 'disconnect';

/** Entry VMs, a coordinator and engines in virtual time. Some requests have a part that crashes engines. */
export class BlameNetwork {
  /** Outcomes of sound requests. */
  readonly sound: blameVm.ModelOutcome[] = [];

  /** Outcomes of deadly requests. */
  readonly deadly: blameVm.ModelOutcome[] = [];

  private readonly random: commonTypes.IRandom;

  private readonly engines: ReadonlyMap<string, crashingEngine.CrashingEngine>;

  private readonly vms: readonly blameVm.BlameVm[];

  private coordinator: blameCoordinator.BlameCoordinator;

  private requestCount = 0;

  /** Connects `vmCount` VMs to a first coordinator. */
  constructor(
    private readonly clock: virtualClock.VirtualClock,
    vmCount: number,
    seed: number,
  ) {
    this.random = new seededRandom.SeededRandom(seed);
    const engines = Array.from({ length: ENGINE_COUNT }, (_, at) => this.makeEngine(at));
    this.engines = new Map(engines.map((engine) => [engine.endpoint.id, engine]));
    this.coordinator = this.makeCoordinator();
    this.vms = Array.from(
      { length: vmCount },
      (_, at) => new blameVm.BlameVm(`vm-${at}`, clock, this.random, this.engines),
    );
    this.vms.forEach((vm) => vm.connect(this.coordinator));
  }

  /** Times of the crashes that deadly requests caused, in order. */
  get crashTimes(): readonly commonTypes.Millis[] {
    return this.crashes.map(({ at }) => at);
  }

  /** Times of these crashes, without those under a request that was sent before the previous one and within a second. */
  get separateCrashTimes(): readonly commonTypes.Millis[] {
    const times: commonTypes.Millis[] = [];
    this.crashes.forEach(({ at, sentAt }) => {
      const previous = times.at(-1) ?? Number.NEGATIVE_INFINITY;
      if (sentAt > previous || at - previous > 1000) {
        times.push(at);
      }
    });
    return times;
  }

  /** Times at which deadly requests were sent to engines, in order. */
  get deadlySends(): readonly commonTypes.Millis[] {
    return this.vms.flatMap((vm) => vm.deadlySends).sort((a, b) => a - b);
  }

  /** Callers send `rate` requests a second for `duration`, of which `deadlyRatio` have the deadly part. */
  async load(rate: number, deadlyRatio: number, duration: commonTypes.Millis): Promise<void> {
    const end = this.clock.monotonic() + duration;
    while (this.clock.monotonic() < end) {
      void this.request(this.random.next() < deadlyRatio);
      await this.clock.advance((-Math.log(1 - this.random.next()) * 1000) / rate);
    }
  }

  /** Injects a fault. */
  inject(fault: NetworkFault): void {
    const engines = [...this.engines.values()];
    const engine = engines[this.random.nextInt(engines.length)] as crashingEngine.CrashingEngine;
    const vm = this.randomVm();
    if (fault === 'kill') {
      engine.kill();
    } else if (fault === 'reset') {
      engine.reset();
    } else if (fault === 'zone') {
      const { availabilityZone: zone } = engine.endpoint;
      engines.filter(({ endpoint }) => endpoint.availabilityZone === zone).forEach((e) => e.kill());
    } else if (fault === 'disconnect') {
      vm.connect(undefined);
      this.reconnect(vm);
    } else {
      this.coordinator = this.makeCoordinator();
      this.vms.forEach((each) => {
        each.connect(undefined);
        this.reconnect(each);
      });
    }
  }

  /** A caller's request. The caller of a deadly one sends it again once, at once, to another VM. */
  private async request(isDeadly: boolean): Promise<void> {
    this.requestCount += 1;
    const { requestCount: number } = this;
    const shared = `doc-${Math.floor(SHARED_PARTS * this.random.next() ** 2)}`;
    const middle = isDeadly ? [shared, 'deadly'] : [shared];
    const parts = ['first', ...middle, `own-${number}`].map((id) => ({ id, tokens: 100 }));
    const prompt = { parts, tokensIn: 100 * parts.length, tokensOut: 50 };
    const request = { id: `r${number}`, fingerprint: `f${number}`, prompt, isDeadly };
    const outcome = await this.randomVm().serve(request, !isDeadly);
    (isDeadly ? this.deadly : this.sound).push(outcome);
    if (isDeadly && outcome === 'failed') {
      this.deadly.push(await this.randomVm().serve({ ...request, id: `r${number}b` }, false));
    }
  }

  private get crashes(): crashingEngine.CrashingEngine['crashes'] {
    return [...this.engines.values()]
      .flatMap((engine) => engine.crashes)
      .sort((a, b) => a.at - b.at);
  }

  private makeEngine(at: number): crashingEngine.CrashingEngine {
    const endpoint = {
      id: `e${at}`,
      service: 's',
      address: `127.0.0.1:${at + 1}`,
      availabilityZone: ZONES[at % ZONES.length] as string,
      slots: 32,
      draining: false,
    };
    return new crashingEngine.CrashingEngine(endpoint, this.clock, this.random);
  }

  private makeCoordinator(): blameCoordinator.BlameCoordinator {
    const endpoints = [...this.engines.values()].map(({ endpoint }) => endpoint);
    return new blameCoordinator.BlameCoordinator(this.clock, endpoints, {
      hasCrashed: async ({ id }) => this.engines.get(id)?.isDown ?? false,
    });
  }

  private reconnect(vm: blameVm.BlameVm): void {
    this.clock.setTimer(this.random.next() * MAX_SEARCH_MS, () => vm.connect(this.coordinator));
  }

  private randomVm(): blameVm.BlameVm {
    return this.vms[this.random.nextInt(this.vms.length)] as blameVm.BlameVm;
  }
}
