import * as requestError from '../../common/RequestError.js';
import type * as refusals from '../../common/Refusals.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as concurrencyLimit from './ConcurrencyLimit.js';
import * as waiter from './Waiter.js';
import * as waitingQueue from './WaitingQueue.js';

/** Bounds of the retry-after time of a refusal. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 30_000;
/** Safety factor on the time that the patient backlog needs. */
const URGENCY_FACTOR = 2;
/** Limit on the debt of a workspace for work on other entry VMs, in milliseconds of the whole pool. */
const MAX_REMOTE_DEBT_MS = 1_000;

/** Work of one workspace and patience that a pool served, as exchanged among entry VMs. */
export interface IServedWork {
  readonly workspace: string;
  readonly patience: configTypes.Patience;
  /** Slot-milliseconds. */
  readonly work: commonTypes.Millis;
}

/** Admission of one pool: an adaptive number of concurrency slots with a bounded queue in front of them. */
export class PoolAdmission implements commonTypes.IDisposable {
  private readonly concurrency: concurrencyLimit.ConcurrencyLimit;

  private readonly queue: waitingQueue.WaitingQueue<waiter.Waiter>;

  private readonly servedWork = new Map<string, number>();

  private inFlight = 0;

  private patientInFlight = 0;

  private timer: commonTypes.IDisposable | undefined;

  private timerDue = Infinity;

  /** `name` appears in error messages; `weightOf` returns the fair-queueing weight of a workspace. */
  constructor(
    private readonly name: string,
    private readonly options: decisionOptions.ILimitOptions,
    private readonly clock: commonTypes.IClock,
    weightOf: (workspace: string) => number,
    endpoints: number,
  ) {
    this.concurrency = new concurrencyLimit.ConcurrencyLimit(options, endpoints);
    this.queue = new waitingQueue.WaitingQueue(
      weightOf,
      options.patientMinShare,
      options.patientMaxShare,
      (backlog, earliest) => this.isUrgent(backlog, earliest),
    );
  }

  /** Number of calls in flight. */
  get running(): number {
    return this.inFlight;
  }

  /** Number of queued requests of both patience classes. */
  get waiting(): number {
    return this.queue.size('interactive') + this.queue.size('patient');
  }

  /** Current concurrency limit: the number of calls that may be in flight. */
  get slots(): number {
    return this.concurrency.limit;
  }

  /** Scales the concurrency limit to a new number of endpoints and dispatches queued requests. */
  resize(endpoints: number): void {
    this.concurrency.resize(endpoints);
    this.dispatch();
  }

  /** Records that an endpoint of the pool refused a call for lack of capacity. */
  observeRefusal(): void {
    this.concurrency.observeRefusal();
  }

  /**
   * Resolves with a slot, possibly after queueing. Rejects at once with `queue-full` when the queue is full
   * or with `shed` when the estimated wait is too long, and later with `shed` when the latest start passes.
   */
  admit(ctx: entryTypes.IRequestContext, work: entryTypes.IStageWork): Promise<entryTypes.IPermit> {
    if (ctx.signal.aborted) {
      return Promise.reject(ctx.signal.reason as Error);
    }
    const { patience } = ctx.kind;
    if (this.queue.size(patience) === 0 && this.hasCapacity(patience)) {
      return Promise.resolve(this.grant(ctx.workspace, patience, work.key, work.expected));
    }
    return this.enqueue(ctx, work);
  }

  /** Estimates the queueing time of such a request in milliseconds. */
  estimateWait(ctx: entryTypes.IRequestContext, work: entryTypes.IStageWork): commonTypes.Millis {
    const { patience } = ctx.kind;
    if (this.queue.size(patience) === 0 && this.hasCapacity(patience)) {
      return 0;
    }
    const { latestStart, expected } = work;
    const candidate = {
      workspace: ctx.workspace,
      patience,
      latestStart,
      work: expected,
      cancelled: false,
    };
    const { work: ahead, capacityRatio } = this.queue.backlogAhead(candidate);
    // Urgent patient work takes precedence, so the estimate assumes the maximum patient share.
    const estimatedRatio =
      patience === 'patient'
        ? Math.max(capacityRatio, this.options.patientMaxShare)
        : capacityRatio;
    return (ahead + expected) / (Math.max(1, this.slots) * estimatedRatio);
  }

  /** Whether a slot is free and the queue is empty, so that a hedge delays no other request. */
  hasSpareCapacity(): boolean {
    return this.waiting === 0 && this.inFlight < this.concurrency.limit;
  }

  /** Charges a workspace for work that other entry VMs served. */
  chargeRemoteWork(served: IServedWork): void {
    const maxDebt = this.slots * MAX_REMOTE_DEBT_MS;
    this.queue.chargeRemoteWork(served.workspace, served.patience, served.work, maxDebt);
  }

  /** Returns the work served here since the previous call and resets the counters. */
  drainServed(): readonly IServedWork[] {
    const drained = [...this.servedWork].map(([key, work]) => {
      const split = key.indexOf(' ');
      const patience = key.slice(0, split) as configTypes.Patience;
      return { patience, workspace: key.slice(split + 1), work };
    });
    this.servedWork.clear();
    return drained;
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
  }

  /** Whether the patient backlog, at the maximum patient share, needs more than half of its remaining time. */
  private isUrgent(backlog: commonTypes.Millis, earliestLatestStart: commonTypes.Millis): boolean {
    const slots = Math.max(1, this.slots * this.options.patientMaxShare);
    return (backlog / slots) * URGENCY_FACTOR > earliestLatestStart - this.clock.monotonic();
  }

  private hasCapacity(patience: configTypes.Patience): boolean {
    if (this.inFlight >= this.concurrency.limit) {
      return false;
    }
    return patience === 'interactive' || this.hasPatientCapacity();
  }

  private hasPatientCapacity(): boolean {
    const maxPatient = Math.max(
      1,
      Math.floor(this.concurrency.limit * this.options.patientMaxShare),
    );
    return this.patientInFlight < maxPatient;
  }

  private enqueue(
    ctx: entryTypes.IRequestContext,
    work: entryTypes.IStageWork,
  ): Promise<entryTypes.IPermit> {
    const { patience } = ctx.kind;
    const expectedWait = this.estimateWait(ctx, work);
    if (this.queue.size(patience) >= this.options.maxWaiting) {
      return Promise.reject(this.refusal('queue-full', expectedWait));
    }
    const timeLeft = work.latestStart - this.clock.monotonic();
    const tooLong = !work.begun && expectedWait > timeLeft * this.options.queueWaitRatio;
    if (timeLeft < 0 || tooLong) {
      return Promise.reject(this.refusal('shed', expectedWait - timeLeft));
    }
    const queued = new waiter.Waiter(ctx, work, (cancelled) => this.queue.onCancelled(cancelled));
    this.queue.push(queued);
    this.armShedTimer(work.latestStart);
    this.dispatch();
    return queued.permit;
  }

  private dispatch(): void {
    while (this.inFlight < this.concurrency.limit) {
      const next = this.queue.dequeue(this.hasPatientCapacity());
      if (!next) {
        return;
      }
      next.grant(this.grant(next.workspace, next.patience, next.key, next.work));
    }
  }

  private grant(
    workspace: string,
    patience: configTypes.Patience,
    key: string,
    work: commonTypes.Millis,
  ): entryTypes.IPermit {
    this.inFlight += 1;
    this.patientInFlight += patience === 'patient' ? 1 : 0;
    const servedKey = `${patience} ${workspace}`;
    this.servedWork.set(servedKey, (this.servedWork.get(servedKey) ?? 0) + work);
    let released = false;
    return {
      release: (outcome, latency) => {
        if (released) {
          return;
        }
        released = true;
        if (outcome === 'ok') {
          this.concurrency.observe(key, latency, this.inFlight);
        }
        this.inFlight -= 1;
        this.patientInFlight -= patience === 'patient' ? 1 : 0;
        this.dispatch();
      },
    };
  }

  private armShedTimer(at: commonTypes.Millis): void {
    if (at >= this.timerDue) {
      return;
    }
    this.timer?.dispose();
    this.timerDue = at;
    // The extra millisecond keeps a timer that fires early from being armed a second time.
    this.timer = this.clock.setTimer(at - this.clock.monotonic() + 1, () => this.shedExpired());
  }

  private shedExpired(): void {
    this.timerDue = Infinity;
    this.timer = undefined;
    const expired = this.queue.takeExpired(this.clock.monotonic());
    expired.forEach((entry) => entry.refuse(this.refusal('shed', entry.work)));
    this.armShedTimer(this.queue.earliestLatestStart());
  }

  private refusal(code: refusals.RefusalCode, wait: commonTypes.Millis): requestError.RequestError {
    const retryAfter = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wait));
    return new requestError.RequestError(
      code,
      `pool ${this.name} is at its concurrency limit: retry after the given time`,
      { run: 'not-run', retryAfter },
    );
  }
}
