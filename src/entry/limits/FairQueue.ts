import * as tinyQueue from 'tinyqueue';
import type * as commonTypes from '../../common/Types.js';
import type * as types from './Types.js';

/** Waiters that left and may still be held before the heaps are rebuilt. */
const MAX_GONE = 64;

/** tinyqueue's class under a name that constructors have. */
const Heap = tinyQueue.default;

interface IFlow<T> {
  heap: tinyQueue.default<T>;
  /** Work served so far over the share; the least goes next. */
  served: number;
}

function byLatestStart(a: types.IWaiter, b: types.IWaiter): number {
  return a.latestStart - b.latestStart;
}

/**
 * Waiters of one patience: workspaces take turns by their shares (start-time fair queueing over expected
 * work), and within a workspace the one that must start earliest goes first.
 */
export class FairQueue<T extends types.IWaiter> {
  private readonly flows = new Map<string, IFlow<T>>();

  /** `served` of the flow that had its turn last. */
  private turn = 0;

  private live = 0;

  private liveWork: commonTypes.Millis = 0;

  private gone = 0;

  /** Takes the weight of a workspace. */
  constructor(private readonly shareOf: (workspace: string) => number) {}

  /** Waiters that have not left. */
  get size(): number {
    return this.live;
  }

  /** Work of those waiters, milliseconds of one place. */
  get backlog(): commonTypes.Millis {
    return this.live === 0 ? 0 : this.liveWork;
  }

  /** Adds a waiter. */
  push(waiter: T): void {
    const flow = this.flow(waiter.workspace);
    if (flow.heap.length === 0) {
      flow.served = Math.max(flow.served, this.turn);
    }
    flow.heap.push(waiter);
    this.live += 1;
    this.liveWork += waiter.work;
  }

  /** A waiter has left: its `gone` is true now. */
  onCancelled(waiter: T): void {
    this.live -= 1;
    this.liveWork -= waiter.work;
    this.gone += 1;
    if (this.gone > MAX_GONE + this.live) {
      this.rebuild();
    }
  }

  /** Takes out the next waiter. */
  dequeue(): T | undefined {
    let best: IFlow<T> | undefined;
    this.flows.forEach((flow) => {
      if (this.peek(flow) && (!best || flow.served < best.served)) {
        best = flow;
      }
    });
    const waiter = best?.heap.pop();
    if (!best || !waiter) {
      return undefined;
    }
    this.live -= 1;
    this.liveWork -= waiter.work;
    this.turn = best.served;
    best.served += waiter.work / this.shareOf(waiter.workspace);
    this.dropIdleFlows();
    return waiter;
  }

  /** Takes out the waiters whose latest start is past. */
  takeExpired(now: commonTypes.Millis): readonly T[] {
    const hopeless: T[] = [];
    this.flows.forEach((flow) => {
      let top = this.peek(flow);
      while (top && top.latestStart < now) {
        flow.heap.pop();
        this.live -= 1;
        this.liveWork -= top.work;
        hopeless.push(top);
        top = this.peek(flow);
      }
    });
    this.dropIdleFlows();
    return hopeless;
  }

  /** The earliest latest start; Infinity when nobody waits. */
  earliestLatestStart(): commonTypes.Millis {
    let least = Infinity;
    this.flows.forEach((flow) => {
      least = Math.min(least, this.peek(flow)?.latestStart ?? Infinity);
    });
    return least;
  }

  /** Work of the same workspace that goes before a waiter like this one, and the part its workspace gets. */
  backlogAhead(waiter: types.IWaiter): types.IBacklog {
    const own = this.flows.get(waiter.workspace);
    const share = this.shareOf(waiter.workspace);
    let shares = share;
    this.flows.forEach((flow, workspace) => {
      shares += flow.heap.length > 0 && flow !== own ? this.shareOf(workspace) : 0;
    });
    let work = 0;
    (own?.heap.data ?? []).forEach((item) => {
      work += item.cancelled || item.latestStart > waiter.latestStart ? 0 : item.work;
    });
    return { work, capacityRatio: share / shares };
  }

  /** Work of a workspace was served elsewhere: it counts as served here too, up to `most` beyond the turn. */
  charge(workspace: string, work: commonTypes.Millis, most: commonTypes.Millis): void {
    const flow = this.flow(workspace);
    const share = this.shareOf(workspace);
    const bound = this.turn + most / share;
    flow.served = Math.max(flow.served, Math.min(bound, flow.served + work / share));
  }

  private flow(workspace: string): IFlow<T> {
    const known = this.flows.get(workspace);
    if (known) {
      return known;
    }
    const created: IFlow<T> = { heap: new Heap<T>([], byLatestStart), served: this.turn };
    this.flows.set(workspace, created);
    return created;
  }

  private peek(flow: IFlow<T>): T | undefined {
    let top = flow.heap.peek();
    while (top?.cancelled) {
      flow.heap.pop();
      this.gone -= 1;
      top = flow.heap.peek();
    }
    return top;
  }

  /** Flows without waiters are kept while they are ahead of the turn, so that a short pause wins nothing. */
  private dropIdleFlows(): void {
    this.flows.forEach((flow, workspace) => {
      if (flow.heap.length === 0 && flow.served <= this.turn) {
        this.flows.delete(workspace);
      }
    });
  }

  private rebuild(): void {
    [...this.flows.values()].forEach((flow) => {
      const data = flow.heap.data.filter((waiter) => !waiter.cancelled);
      Object.assign(flow, { heap: new Heap<T>(data, byLatestStart) });
    });
    this.gone = 0;
  }
}
