import type * as types from '../Types.js';

interface ITimer {
  readonly due: types.Millis;
  readonly order: number;
  readonly callback: () => void;
}

/** A clock for tests whose time advances only by calls of `advance`. */
export class ManualClock implements types.IClock {
  private time: types.Millis;

  private order = 0;

  private readonly timers = new Set<ITimer>();

  /** Creates a clock that shows `start`, in milliseconds. */
  constructor(start: types.Millis = 1_000_000) {
    this.time = start;
  }

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
    const timer: ITimer = { due: this.time + Math.max(0, delay), order: this.order, callback };
    this.order += 1;
    this.timers.add(timer);
    return { dispose: () => this.timers.delete(timer) };
  }

  /** @inheritdoc */
  sleep(delay: types.Millis, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason as Error);
        return;
      }
      const held: { timer?: types.IDisposable } = {};
      const abort = () => {
        held.timer?.dispose();
        reject(signal?.reason as Error);
      };
      held.timer = this.setTimer(delay, () => {
        signal?.removeEventListener('abort', abort);
        resolve();
      });
      signal?.addEventListener('abort', abort, { once: true });
    });
  }

  /** Lets time pass without firing timers, as in a busy event loop; they fire late. */
  spend(duration: types.Millis): void {
    this.time += duration;
  }

  /** Advances time by `duration` milliseconds; fires due timers in order and lets promises settle after each. */
  async advance(duration: types.Millis): Promise<void> {
    const end = this.time + duration;
    await this.settle();
    for (let timer = this.nextDue(end); timer; timer = this.nextDue(end)) {
      this.timers.delete(timer);
      this.time = Math.max(this.time, timer.due);
      timer.callback();
      await this.settle();
    }
    this.time = Math.max(this.time, end);
  }

  private nextDue(end: types.Millis): ITimer | undefined {
    const due = [...this.timers].filter((timer) => timer.due <= end);
    return due.sort((a, b) => a.due - b.due || a.order - b.order)[0];
  }

  private async settle(): Promise<void> {
    for (let turn = 0; turn < 10; turn++) {
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}
