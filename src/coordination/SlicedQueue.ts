import type * as commonTypes from '../common/Types.js';

/** Time for which tasks run before the event loop serves other events. */
const SLICE_MS = 10;

/** Tasks run before all that wait with a lower priority. */
export type TaskPriority = 'high' | 'normal' | 'low';

/** Receives the time for which the task waited. */
export type Task = (waited: commonTypes.Millis) => void;

interface IWaitingTask {
  readonly run: Task;
  readonly since: commonTypes.Millis;
}

const PRIORITIES: readonly TaskPriority[] = ['high', 'normal', 'low'];

/**
 * Runs tasks in slices of limited duration, between which the event loop serves other events, such as heartbeats and
 * their answers. A task runs at once while no other waits and the slice is not over.
 *
 * @example
 * const queue = new SlicedQueue(clock, () => metrics.count('messages_deferred'));
 * queue.add(() => handleMessage(message), 'normal');
 */
export class SlicedQueue implements commonTypes.IDisposable {
  private readonly tasks: Record<TaskPriority, IWaitingTask[]> = { high: [], normal: [], low: [] };

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
    return PRIORITIES.reduce((sum, priority) => sum + this.tasks[priority].length, 0);
  }

  /** Time for which the oldest task of a priority has waited; 0 if none waits. */
  waitOf(priority: TaskPriority): commonTypes.Millis {
    const [oldest] = this.tasks[priority];
    return oldest === undefined ? 0 : this.clock.monotonic() - oldest.since;
  }

  /** Runs `task` after all tasks that were added before with the same or a higher priority. */
  add(task: Task, priority: TaskPriority = 'normal'): void {
    if (this.isDisposed) {
      return;
    }
    const { length } = this;
    this.tasks[priority].push({ run: task, since: this.clock.monotonic() });
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
    PRIORITIES.forEach((priority) => {
      this.tasks[priority] = [];
    });
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
        task.run(this.clock.monotonic() - task.since);
      }
    } finally {
      this.isRunning = false;
    }
  }

  private takeTask(): IWaitingTask | undefined {
    const { high, normal, low } = this.tasks;
    const isOver = this.clock.monotonic() >= this.sliceEnd;
    return isOver ? undefined : (high.shift() ?? normal.shift() ?? low.shift());
  }
}
