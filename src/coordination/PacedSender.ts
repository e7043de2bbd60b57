import type * as commonTypes from '../common/Types.js';

/** Messages of this duration at the sender's rate may leave at once. */
const BURST_MS = 10;

/** Sends a message, if it is still needed, and returns its size in bytes. */
export type SendTask = () => number;

/** Tasks of a priority run while there are none of a higher one. */
export type SendPriority = 'high' | 'medium' | 'low';

const PRIORITIES: readonly SendPriority[] = ['high', 'medium', 'low'];

/**
 * Sends large messages to many receivers at a limited rate, so that short messages, such as heartbeats, do not wait behind
 * all of them on the link of this VM.
 */
export class PacedSender implements commonTypes.IDisposable {
  private readonly tasks: Record<SendPriority, SendTask[]> = {
    high: [],
    medium: [],
    low: [],
  };

  /** Time at which the messages that were sent have left the link at the limited rate. */
  private freeAt: commonTypes.Millis;

  private timer: commonTypes.IDisposable | undefined;

  private isDisposed = false;

  /** Sends `bytesPerMs` bytes a millisecond in the mean. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly bytesPerMs: number,
  ) {
    this.freeAt = clock.monotonic();
  }

  /** Runs `task` once the rate allows it, after all tasks of the same priority before it. */
  add(task: SendTask, priority: SendPriority = 'high'): void {
    this.tasks[priority].push(task);
    if (this.timer === undefined) {
      this.sendDue();
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
    PRIORITIES.forEach((priority) => {
      this.tasks[priority] = [];
    });
  }

  private sendDue(): void {
    this.timer = undefined;
    const now = this.clock.monotonic();
    this.freeAt = Math.max(this.freeAt, now);
    PRIORITIES.forEach((priority) => this.runTasks(priority, now + BURST_MS));
    const hasMore = PRIORITIES.some((priority) => this.tasks[priority].length > 0);
    if (hasMore && !this.isDisposed) {
      this.timer = this.clock.setTimer(this.freeAt - now, () => this.sendDue());
    }
  }

  /** Runs tasks until what was sent fills the link up to the time `end`. */
  private runTasks(priority: SendPriority, end: commonTypes.Millis): void {
    const tasks = this.tasks[priority];
    let count = 0;
    try {
      while (count < tasks.length && this.freeAt < end) {
        const task = tasks[count] as SendTask;
        count += 1;
        this.freeAt += task() / this.bytesPerMs;
      }
    } finally {
      tasks.splice(0, count);
    }
  }
}
