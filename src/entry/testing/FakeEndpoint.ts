import type * as commonTypes from '../../common/Types.js';

/** Faults of an endpoint, which a test may change at any time. */
export interface IFaults {
  /** Factor applied to the duration of every call; 1 for normal speed. */
  slowness: number;
  /** Answers every call with 503. */
  refuses: boolean;
  /** Answers every call with 500. */
  errors: boolean;
  /** Answers with the id of another request. */
  mismatchesIds: boolean;
  /** Cuts streams after `cutAfter` tokens, for the next `cuts` streams. */
  cutAfter: number | undefined;
  cuts: number;
}

/** One call at an endpoint, with callbacks for its start and outcome. */
export interface IJob {
  /** Processing time without queue wait, milliseconds. */
  readonly durationMs: commonTypes.Millis;
  readonly onStart: () => void;
  readonly onDone: () => void;
  readonly onLost: () => void;
}

/** An endpoint with a fixed concurrency, a queue and switchable faults. */
export class FakeEndpoint {
  /** Faults in effect. */
  readonly faults: IFaults = {
    slowness: 1,
    refuses: false,
    errors: false,
    mismatchesIds: false,
    cutAfter: undefined,
    cuts: 0,
  };

  /** Whether the process is running. */
  up = true;

  /** Incarnation number; increases with each restart. */
  incarnation = 1;

  /** Number of crashes so far. */
  crashes = 0;

  private readonly running = new Map<IJob, commonTypes.IDisposable>();

  private readonly waiting: IJob[] = [];

  /** Runs up to `slots` calls at once. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly slots: number,
  ) {}

  /** Number of running calls. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Number of queued calls. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Queues a call; the returned function cancels it. */
  submit(job: IJob): () => void {
    this.waiting.push(job);
    this.startWaiting();
    return () => this.cancel(job);
  }

  /** Crashes the process and breaks all its connections; it restarts after `downtime` milliseconds. */
  crash(downtime: commonTypes.Millis): void {
    const jobs = [...this.running.keys(), ...this.waiting];
    this.running.forEach((timer) => timer.dispose());
    this.running.clear();
    this.waiting.length = 0;
    this.up = false;
    this.crashes += 1;
    this.clock.setTimer(downtime, () => {
      this.up = true;
      this.incarnation += 1;
    });
    jobs.forEach((job) => job.onLost());
  }

  private startWaiting(): void {
    while (this.running.size < this.slots) {
      const job = this.waiting.shift();
      if (!job) {
        return;
      }
      this.start(job);
    }
  }

  private start(job: IJob): void {
    const timer = this.clock.setTimer(job.durationMs * this.faults.slowness, () =>
      this.finish(job),
    );
    this.running.set(job, timer);
    job.onStart();
  }

  private finish(job: IJob): void {
    this.running.delete(job);
    job.onDone();
    this.startWaiting();
  }

  private cancel(job: IJob): void {
    const index = this.waiting.indexOf(job);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
    this.running.get(job)?.dispose();
    if (this.running.delete(job)) {
      this.startWaiting();
    }
  }
}
