import * as tinyqueue from 'tinyqueue';

const { default: TinyQueue } = tinyqueue;

interface IWaiter {
  readonly priority: number;
  readonly order: number;
  readonly start: () => void;
  cancelled: boolean;
}

/** A fixed number of slots; who waits is served by priority, then in order of arrival. */
export class SlotQueue {
  private busy = 0;

  private queued = 0;

  private order = 0;

  private readonly waiters = new TinyQueue<IWaiter>(
    [],
    (a, b) => b.priority - a.priority || a.order - b.order,
  );

  /** `slots` run at once, `limit` may wait. */
  constructor(
    private readonly slots: number,
    private readonly limit: number,
  ) {}

  /** Calls that hold a slot. */
  get running(): number {
    return this.busy;
  }

  /** Calls that wait for a slot. */
  get waiting(): number {
    return this.queued;
  }

  /** Whether one more call would be refused. */
  get full(): boolean {
    return this.busy >= this.slots && this.queued >= this.limit;
  }

  /** Resolves with a slot to be released once; rejects when the signal aborts first. */
  acquire(priority: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return Promise.reject(signal.reason);
    }
    if (this.busy < this.slots) {
      this.busy += 1;
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const waiter: IWaiter = { priority, order: this.order, start: resolve, cancelled: false };
      this.order += 1;
      this.queued += 1;
      this.waiters.push(waiter);
      const abort = (): void => {
        if (!waiter.cancelled) {
          waiter.cancelled = true;
          this.queued -= 1;
          reject(signal.reason);
        }
      };
      signal.addEventListener('abort', abort, { once: true });
    });
  }

  /** Gives a slot back. */
  release(): void {
    for (let next = this.waiters.pop(); next; next = this.waiters.pop()) {
      if (!next.cancelled) {
        next.cancelled = true;
        this.queued -= 1;
        next.start();
        return;
      }
    }
    this.busy -= 1;
  }
}
