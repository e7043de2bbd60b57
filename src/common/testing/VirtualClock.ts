import * as tinyQueue from 'tinyqueue';
import type * as types from '../Types.js';

/** The class of tinyqueue, in PascalCase as the linter requires of constructors. */
const Heap = tinyQueue.default;

interface ITimer {
  readonly due: types.Millis;
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

/** A clock for long simulations: timers are kept in a heap, and one turn of the event loop follows each. */
export class VirtualClock implements types.IClock {
  private order = 0;

  private readonly timers = new Heap<ITimer>([], (a, b) => a.due - b.due || a.order - b.order);

  /** Creates a clock that shows `time`, in milliseconds. */
  constructor(private time: types.Millis = 1_000_000) {}

  /** @inheritdoc */
  now(): types.Millis {
    return this.time;
  }

  /** @inheritdoc */
  monotonic(): types.Millis {
    return this.time;
  }

  /** @inheritdoc */
  setTimer(delay: types.Millis, callback: () => void): types.IDisposable {
    const due = this.time + Math.max(0, delay);
    const timer: ITimer = { due, order: this.order, callback, cancelled: false };
    this.order += 1;
    this.timers.push(timer);
    return {
      dispose: () => {
        timer.cancelled = true;
      },
    };
  }

  /** @inheritdoc */
  sleep(delay: types.Millis, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason as Error);
        return;
      }
      const timer = this.setTimer(delay, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      function onAbort(): void {
        timer.dispose();
        reject(signal?.reason);
      }
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }

  /** Advances time by `duration` milliseconds; fires due timers in order and lets promises settle after each. */
  async advance(duration: types.Millis): Promise<void> {
    const end = this.time + duration;
    await settle();
    for (let timer = this.nextDue(end); timer; timer = this.nextDue(end)) {
      this.time = Math.max(this.time, timer.due);
      timer.callback();
      await settle();
    }
    this.time = end;
  }

  private nextDue(end: types.Millis): ITimer | undefined {
    let top = this.timers.peek();
    while (top?.cancelled) {
      this.timers.pop();
      top = this.timers.peek();
    }
    return top && top.due <= end ? this.timers.pop() : undefined;
  }
}

/** Waits for one turn of the event loop, in which all pending promise callbacks run. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
