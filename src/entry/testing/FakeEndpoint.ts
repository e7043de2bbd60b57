import type * as commonTypes from '../../common/Types.js';

/** What an endpoint does wrong. */
export interface IFaults {
  /** Factor on the time of every call. */
  slowness: number;
  /** Answers every call with 503. */
  refuses: boolean;
  /** Answers every call with 500. */
  errors: boolean;
  /** Answers with another request's id. */
  mismatchesIds: boolean;
  /** Cuts streams after so many tokens, this many times. */
  cutAfter: number | undefined;
  cuts: number;
}

/** One call at an endpoint. */
export interface IJob {
  /** Time that it takes once it runs. */
  readonly durationMs: commonTypes.Millis;
  readonly onStart: () => void;
  readonly onDone: () => void;
  readonly onLost: () => void;
}

/** An endpoint with a number of places, a queue before them, and faults. */
export class FakeEndpoint {
  /** Switches of the faults. */
  readonly faults: IFaults = {
    slowness: 1,
    refuses: false,
    errors: false,
    mismatchesIds: false,
    cutAfter: undefined,
    cuts: 0,
  };

  /** Whether the process runs. */
  up = true;

  /** Counts restarts. */
  incarnation = 1;

  /** Crashes so far. */
  crashes = 0;

  private readonly running = new Map<IJob, commonTypes.IDisposable>();

  private readonly waiting: IJob[] = [];

  /** Runs `slots` calls at once. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly slots: number,
  ) {}

  /** Calls being worked on. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Calls that wait. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Takes a call; returns how to cancel it. */
  submit(job: IJob): () => void {
    this.waiting.push(job);
    this.pump();
    return () => this.cancel(job);
  }

  /** The process dies, all its connections break; it is back after `downtime`. */
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

  private pump(): void {
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
    this.pump();
  }

  private cancel(job: IJob): void {
    const at = this.waiting.indexOf(job);
    if (at >= 0) {
      this.waiting.splice(at, 1);
    }
    this.running.get(job)?.dispose();
    if (this.running.delete(job)) {
      this.pump();
    }
  }
}
