import type * as commonTypes from '../common/Types.js';

/** Time for which tasks run before the event loop serves other events. */
const SLICE_MS = 10;

/** Tasks of high priority run before all others that wait. */
export type TaskPriority = 'high' | 'normal';

/**
 * Runs tasks in slices of limited duration, between which the event loop serves other events, such as heartbeats and
 * their answers. A task runs at once while no other waits and the slice is not over.
 *
 * @example
 * const queue = new SlicedQueue(clock, () => metrics.count('messages_deferred'));
 * queue.add(() => handleMessage(message), 'normal');
 */
export class SlicedQueue implements commonTypes.IDisposable {
  private readonly tasks: Record<TaskPriority, (() => void)[]> = { high: [], normal: [] };

  /** Begins the next slice; undefined while there was no task since the last one. */
  private timer: commonTypes.IDisposable | undefined;

  private sliceEnd: commonTypes.Millis = 0;

  private isRunning = false;

  private isDisposed = false;

  /** Starts without tasks; `onDefer` is called for each task that must wait for a later slice. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly onDefer: () => void = () => {},
  ) {}

  /** Number of tasks that wait. */
  get length(): number {
    return this.tasks.high.length + this.tasks.normal.length;
  }

  /** Runs `task` after all tasks that were added before with the same or a higher priority. */
  add(task: () => void, priority: TaskPriority = 'normal'): void {
    if (this.isDisposed) {
      return;
    }
    const { length } = this;
    this.tasks[priority].push(task);
    if (this.timer === undefined) {
      this.beginSlice();
    } else if (!this.isRunning) {
      this.runSlice();
    }
    if (this.length > length) {
      this.onDefer();
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
    this.tasks.high = [];
    this.tasks.normal = [];
  }

  private beginSlice(): void {
    this.sliceEnd = this.clock.monotonic() + SLICE_MS;
    this.timer = this.clock.setTimer(0, () => this.endSlice());
    this.runSlice();
  }

  private endSlice(): void {
    this.timer = undefined;
    if (this.length > 0) {
      this.beginSlice();
    }
  }

  private runSlice(): void {
    this.isRunning = true;
    try {
      for (let task = this.takeTask(); task !== undefined; task = this.takeTask()) {
        task();
      }
    } finally {
      this.isRunning = false;
    }
  }

  private takeTask(): (() => void) | undefined {
    const isOver = this.clock.monotonic() >= this.sliceEnd;
    return isOver ? undefined : (this.tasks.high.shift() ?? this.tasks.normal.shift());
  }
}
