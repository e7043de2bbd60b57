import * as batching from '../../src/batching/Types.js';
import type * as commonTypes from '../../src/common/Types.js';
import type * as routing from '../../src/routing/Types.js';
import type * as types from './Types.js';

interface IResult {
  readonly zone: string;
  readonly bytes: number;
  readonly timeMs: number;
  used: boolean;
}

interface IMaker {
  busy: boolean;
  waiting: number;
  usedBytes: number;
  tail: Promise<void>;
  readonly results: Map<string, IResult>;
}

/** Calls that an endpoint keeps waiting beside the one that runs. */
const QUEUE_DEPTH = 2;
const HOP_MS = 1;

/** Stage endpoints as the platform describes them: one call at a time, few places that wait, room for results. */
export class SimulatedStages implements batching.IStageCaller {
  private readonly makers = new Map<string, IMaker>();

  private nextHandle = 0;

  /** Counted over the play. */
  readonly counts = {
    calls: 0,
    items: 0,
    full: 0,
    noRoom: 0,
    gone: 0,
    movedBytes: 0,
    crossedBytes: 0,
    busyMs: 0,
    usedMs: 0,
  };

  /** Plays the services of `scenario`. */
  constructor(
    private readonly scenario: types.IScenario,
    private readonly clock: commonTypes.IClock,
    /** Work of an item of a request's stage, and the size of its result. */
    private readonly costOf: (item: batching.IStageItem) => { work: number; bytes: number },
  ) {}

  /** @inheritdoc */
  async run(
    endpoint: routing.IEndpoint,
    items: readonly batching.IStageItem[],
  ): Promise<readonly batching.ItemOutcome[]> {
    const maker = this.makerOf(endpoint.id);
    this.counts.calls += 1;
    await this.clock.sleep(HOP_MS);
    if (maker.busy && maker.waiting >= QUEUE_DEPTH) {
      this.counts.full += 1;
      throw new batching.StageCallError('full', 'no place');
    }
    maker.waiting += 1;
    const before = maker.tail;
    const work = before.then(() => this.work(endpoint, maker, items));
    maker.tail = work.then(() => {});
    const results = await work;
    await this.clock.sleep(HOP_MS);
    return results;
  }

  /** @inheritdoc */
  async free(endpoint: routing.IEndpoint, handles: readonly string[]): Promise<boolean> {
    await this.clock.sleep(HOP_MS);
    const maker = this.makerOf(endpoint.id);
    handles.forEach((handle) => this.drop(maker, handle));
    return true;
  }

  /** An engine or a stage in `zone` reads results; false when one of them is gone. */
  use(handles: readonly string[], zone: string): boolean {
    const found = handles.map((handle) => this.find(handle));
    found.forEach((result) => {
      this.counts.movedBytes += result?.bytes ?? 0;
      this.counts.crossedBytes += result === undefined || result.zone === zone ? 0 : result.bytes;
    });
    found.forEach((result) => {
      if (result !== undefined && !result.used) {
        Object.assign(result, { used: true });
        this.counts.usedMs += result.timeMs;
      }
    });
    return found.every((result) => result !== undefined);
  }

  private async work(
    endpoint: routing.IEndpoint,
    maker: IMaker,
    items: readonly batching.IStageItem[],
  ): Promise<readonly batching.ItemOutcome[]> {
    const { limits } = this.serviceOf(endpoint.service);
    Object.assign(maker, { waiting: maker.waiting - 1, busy: true });
    const planned = items.map((item) => this.admit(maker, limits, item, endpoint.availabilityZone));
    const made = planned.filter((plan) => 'bytes' in plan).length;
    const itemTime = planned.reduce((sum, plan) => sum + ('bytes' in plan ? plan.timeMs : 0), 0);
    const time = limits.callCost + itemTime;
    this.counts.busyMs += time;
    await this.clock.sleep(time);
    Object.assign(maker, { busy: false });
    return planned.map((plan) => {
      if (!('bytes' in plan)) {
        return plan;
      }
      const handle = `${endpoint.id}/${this.nextHandle}`;
      this.nextHandle += 1;
      const { bytes } = plan;
      maker.results.set(handle, {
        bytes,
        timeMs: time / made,
        used: false,
        zone: endpoint.availabilityZone,
      });
      this.clock.setTimer(limits.resultRetention, () => this.drop(maker, handle));
      return { handle };
    });
  }

  private admit(
    maker: IMaker,
    limits: routing.IBatchLimits,
    item: batching.IStageItem,
    zone: string,
  ): { readonly bytes: number; readonly timeMs: number } | { readonly failure: 'gone' | 'room' } {
    this.counts.items += 1;
    const { work, bytes } = this.costOf(item);
    const inputs = item.inputs ?? [];
    if (!inputs.every((handle) => this.find(handle) !== undefined)) {
      this.counts.gone += 1;
      return { failure: 'gone' };
    }
    this.use(inputs, zone);
    if (maker.usedBytes + bytes > limits.resultCapacityBytes) {
      this.counts.noRoom += 1;
      return { failure: 'room' };
    }
    Object.assign(maker, { usedBytes: maker.usedBytes + bytes });
    return { bytes, timeMs: limits.itemCost * work };
  }

  private drop(maker: IMaker, handle: string): void {
    const result = maker.results.get(handle);
    if (result !== undefined) {
      maker.results.delete(handle);
      Object.assign(maker, { usedBytes: maker.usedBytes - result.bytes });
    }
  }

  private find(handle: string): IResult | undefined {
    const id = handle.slice(0, handle.lastIndexOf('/'));
    return this.makers.get(id)?.results.get(handle);
  }

  private serviceOf(name: string): types.IStageService {
    const service = this.scenario.services.find((each) => each.name === name);
    if (service === undefined) {
      throw new Error(`no stage service ${name}`);
    }
    return service;
  }

  private makerOf(id: string): IMaker {
    const present = this.makers.get(id);
    if (present !== undefined) {
      return present;
    }
    const maker = {
      busy: false,
      waiting: 0,
      usedBytes: 0,
      tail: Promise.resolve(),
      results: new Map<string, IResult>(),
    };
    this.makers.set(id, maker);
    return maker;
  }
}
