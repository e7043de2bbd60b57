import * as tinyQueue from 'tinyqueue';
import type * as commonTypes from '../../common/Types.js';
import type * as types from './Types.js';

/** Cancelled waiters that may stay in the heaps beyond the number of live ones before a rebuild. */
const MAX_CANCELLED = 64;

/** The class that tinyqueue exports, under a capitalized name as constructors have. */
const Heap = tinyQueue.default;

interface IFlow<T> {
  heap: tinyQueue.default<T>;
  /** Work served so far divided by the weight; the flow with the lowest value is served next. */
  virtualServed: number;
}

function byLatestStart(a: types.IWaiter, b: types.IWaiter): number {
  return a.latestStart - b.latestStart;
}

/**
 * Fair queue of the waiters of one patience. Workspaces share the queue by weight (start-time fair queueing
 * over the expected work); within a workspace the waiter with the earliest latest start goes first.
 */
export class FairQueue<T extends types.IWaiter> {
  private readonly flows = new Map<string, IFlow<T>>();

  /** `virtualServed` of the flow that was served last, before it was charged. */
  private virtualTime = 0;

  private liveCount = 0;

  private liveWork: commonTypes.Millis = 0;

  private cancelledCount = 0;

  /** `weightOf` returns the weight of a workspace; it must be positive. */
  constructor(private readonly weightOf: (workspace: string) => number) {}

  /** Number of waiters without the cancelled ones. */
  get size(): number {
    return this.liveCount;
  }

  /** Total expected work of these waiters in slot-milliseconds. */
  get backlog(): commonTypes.Millis {
    return this.liveCount === 0 ? 0 : this.liveWork;
  }

  /** Enqueues a waiter in the flow of its workspace. */
  push(waiter: T): void {
    const flow = this.flowOf(waiter.workspace);
    if (flow.heap.length === 0) {
      flow.virtualServed = Math.max(flow.virtualServed, this.virtualTime);
    }
    flow.heap.push(waiter);
    this.liveCount += 1;
    this.liveWork += waiter.work;
  }

  /** Takes a cancelled waiter out of the counts; its `cancelled` must already be true. */
  onCancelled(waiter: T): void {
    this.liveCount -= 1;
    this.liveWork -= waiter.work;
    this.cancelledCount += 1;
    if (this.cancelledCount > MAX_CANCELLED + this.liveCount) {
      this.removeCancelled();
    }
  }

  /** Removes and returns the next waiter; undefined when the queue is empty. */
  dequeue(): T | undefined {
    let best: IFlow<T> | undefined;
    this.flows.forEach((flow) => {
      if (this.peekLive(flow) && (!best || flow.virtualServed < best.virtualServed)) {
        best = flow;
      }
    });
    const waiter = best?.heap.pop();
    if (!best || !waiter) {
      return undefined;
    }
    this.liveCount -= 1;
    this.liveWork -= waiter.work;
    this.virtualTime = best.virtualServed;
    best.virtualServed += waiter.work / this.weightOf(waiter.workspace);
    this.dropIdleFlows();
    return waiter;
  }

  /** Removes and returns the waiters whose latest start is before `now` (monotonic milliseconds). */
  takeExpired(now: commonTypes.Millis): readonly T[] {
    const expired: T[] = [];
    this.flows.forEach((flow) => {
      let top = this.peekLive(flow);
      while (top && top.latestStart < now) {
        flow.heap.pop();
        this.liveCount -= 1;
        this.liveWork -= top.work;
        expired.push(top);
        top = this.peekLive(flow);
      }
    });
    this.dropIdleFlows();
    return expired;
  }

  /** The earliest latest start in monotonic milliseconds; Infinity when the queue is empty. */
  earliestLatestStart(): commonTypes.Millis {
    let least = Infinity;
    this.flows.forEach((flow) => {
      least = Math.min(least, this.peekLive(flow)?.latestStart ?? Infinity);
    });
    return least;
  }

  /** Work of the same workspace with an earlier latest start, and the fraction of the class it gets. */
  backlogAhead(waiter: types.IWaiter): types.IBacklog {
    const ownFlow = this.flows.get(waiter.workspace);
    const weight = this.weightOf(waiter.workspace);
    let totalWeight = weight;
    this.flows.forEach((flow, workspace) => {
      totalWeight += flow.heap.length > 0 && flow !== ownFlow ? this.weightOf(workspace) : 0;
    });
    let work = 0;
    (ownFlow?.heap.data ?? []).forEach((item) => {
      work += item.cancelled || item.latestStart > waiter.latestStart ? 0 : item.work;
    });
    return { work, capacityRatio: weight / totalWeight };
  }

  /** Charges a workspace for work served by other VMs, up to `maxDebt` beyond the virtual time. */
  charge(workspace: string, work: commonTypes.Millis, maxDebt: commonTypes.Millis): void {
    const flow = this.flowOf(workspace);
    const weight = this.weightOf(workspace);
    const bound = this.virtualTime + maxDebt / weight;
    flow.virtualServed = Math.max(
      flow.virtualServed,
      Math.min(bound, flow.virtualServed + work / weight),
    );
  }

  private flowOf(workspace: string): IFlow<T> {
    const known = this.flows.get(workspace);
    if (known) {
      return known;
    }
    const created: IFlow<T> = {
      heap: new Heap<T>([], byLatestStart),
      virtualServed: this.virtualTime,
    };
    this.flows.set(workspace, created);
    return created;
  }

  private peekLive(flow: IFlow<T>): T | undefined {
    let top = flow.heap.peek();
    while (top?.cancelled) {
      flow.heap.pop();
      this.cancelledCount -= 1;
      top = flow.heap.peek();
    }
    return top;
  }

  /** Drops empty flows, but keeps those ahead of the virtual time, so that a short pause gains no credit. */
  private dropIdleFlows(): void {
    this.flows.forEach((flow, workspace) => {
      if (flow.heap.length === 0 && flow.virtualServed <= this.virtualTime) {
        this.flows.delete(workspace);
      }
    });
  }

  private removeCancelled(): void {
    [...this.flows.values()].forEach((flow) => {
      const data = flow.heap.data.filter((waiter) => !waiter.cancelled);
      Object.assign(flow, { heap: new Heap<T>(data, byLatestStart) });
    });
    this.cancelledCount = 0;
  }
}
