import type * as commonTypes from '../common/Types.js';

/** Messages of this duration at the sender's rate may leave at once. */
const BURST_MS = 10;

/** Sends a message, if it is still needed, and returns its size in bytes. */
export type SendTask = () => number;

/**
 * Sends large messages to many receivers at a limited rate, so that short messages, such as heartbeats, do not wait behind
 * all of them on the link of this VM.
 */
export class PacedSender implements commonTypes.IDisposable {
  private tasks: SendTask[] = [];

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

  /** Runs `task` once the rate allows it, after all tasks before it. */
  add(task: SendTask): void {
    this.tasks.push(task);
    if (this.timer === undefined) {
      this.sendDue();
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
    this.tasks = [];
  }

  private sendDue(): void {
    this.timer = undefined;
    const now = this.clock.monotonic();
    this.freeAt = Math.max(this.freeAt, now);
    let count = 0;
    while (count < this.tasks.length && this.freeAt - now < BURST_MS) {
      this.freeAt += (this.tasks[count] as SendTask)() / this.bytesPerMs;
      count += 1;
    }
    this.tasks.splice(0, count);
    if (this.tasks.length > 0 && !this.isDisposed) {
      this.timer = this.clock.setTimer(this.freeAt - now, () => this.sendDue());
    }
  }
}
