import * as requestError from '../../common/RequestError.js';
import type * as refusals from '../../common/Refusals.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as concurrencyLimit from './ConcurrencyLimit.js';
import * as waiter from './Waiter.js';
import * as waitingQueue from './WaitingQueue.js';

/** Least time that a refused caller is told to stay away. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 30_000;
/** Safety of the time that a patient backlog needs. */
const URGENT_FACTOR = 2;
/** Time of the whole pool for which a workspace may stand back for work that it had elsewhere. */
const MAX_DEBT_MS = 1_000;

/** Work served lately by workspace, for the exchange among entry VMs. */
export interface IServedWork {
  readonly workspace: string;
  readonly patience: configTypes.Patience;
  /** Milliseconds of one place. */
  readonly work: commonTypes.Millis;
}

/** Admission of one pool: a learnt number of places and a bounded queue before them. */
export class PoolAdmission implements commonTypes.IDisposable {
  private readonly limit: concurrencyLimit.ConcurrencyLimit;

  private readonly queue: waitingQueue.WaitingQueue<waiter.Waiter>;

  private readonly served = new Map<string, number>();

  private inFlight = 0;

  private patientInFlight = 0;

  private timer: commonTypes.IDisposable | undefined;

  private timerAt = Infinity;

  /** Takes the pool's name for messages and the weights of workspaces. */
  constructor(
    private readonly name: string,
    private readonly options: decisionOptions.ILimitOptions,
    private readonly clock: commonTypes.IClock,
    shareOf: (workspace: string) => number,
    endpoints: number,
  ) {
    this.limit = new concurrencyLimit.ConcurrencyLimit(options, endpoints);
    this.queue = new waitingQueue.WaitingQueue(
      shareOf,
      options.patientMinShare,
      options.patientMaxShare,
      (backlog, earliest) => this.isUrgent(backlog, earliest),
    );
  }

  /** Calls in flight. */
  get running(): number {
    return this.inFlight;
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.queue.size('interactive') + this.queue.size('patient');
  }

  /** Places learnt. */
  get places(): number {
    return this.limit.limit;
  }

  /** The pool has another number of endpoints. */
  resize(endpoints: number): void {
    this.limit.resize(endpoints);
    this.pump();
  }

  /** An endpoint had no room. */
  observeRefusal(): void {
    this.limit.observeRefusal();
  }

  /** Resolves with a place; rejects at once when waiting would be in vain. */
  admit(ctx: entryTypes.IRequestContext, work: entryTypes.IStageWork): Promise<entryTypes.IPermit> {
    if (ctx.signal.aborted) {
      return Promise.reject(ctx.signal.reason as Error);
    }
    const { patience } = ctx.kind;
    if (this.queue.size(patience) === 0 && this.hasRoom(patience)) {
      return Promise.resolve(this.grant(ctx.workspace, patience, work.key, work.expected));
    }
    return this.wait(ctx, work);
  }

  /** Milliseconds that such a request would wait now. */
  estimateWait(ctx: entryTypes.IRequestContext, work: entryTypes.IStageWork): commonTypes.Millis {
    const { patience } = ctx.kind;
    if (this.queue.size(patience) === 0 && this.hasRoom(patience)) {
      return 0;
    }
    const { latestStart, expected } = work;
    const probe = { workspace: ctx.workspace, patience, latestStart, work: expected, gone: false };
    const { work: ahead, part } = this.queue.ahead(probe);
    // Patient work goes first when it must, so it is told what it gets then.
    const known = patience === 'patient' ? Math.max(part, this.options.patientMaxShare) : part;
    return (ahead + expected) / (Math.max(1, this.places) * known);
  }

  /** Takes one more place for a hedge when nobody waits for it. */
  hasSpareRoom(): boolean {
    return this.waiting === 0 && this.inFlight < this.limit.limit;
  }

  /** Work of a workspace that other entry VMs served. */
  chargeElsewhere(served: IServedWork): void {
    const most = this.places * MAX_DEBT_MS;
    this.queue.chargeElsewhere(served.workspace, served.patience, served.work, most);
  }

  /** Work served here since the last call. */
  drainServed(): readonly IServedWork[] {
    const drained = [...this.served].map(([key, work]) => {
      const split = key.indexOf(' ');
      const patience = key.slice(0, split) as configTypes.Patience;
      return { patience, workspace: key.slice(split + 1), work };
    });
    this.served.clear();
    return drained;
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
  }

  /** Whether the patient backlog, served as fast as patient work may be, takes half the time it has. */
  private isUrgent(backlog: commonTypes.Millis, earliest: commonTypes.Millis): boolean {
    const places = Math.max(1, this.places * this.options.patientMaxShare);
    return (backlog / places) * URGENT_FACTOR > earliest - this.clock.monotonic();
  }

  private hasRoom(patience: configTypes.Patience): boolean {
    if (this.inFlight >= this.limit.limit) {
      return false;
    }
    return patience === 'interactive' || this.patientRoom();
  }

  private patientRoom(): boolean {
    const most = Math.max(1, Math.floor(this.limit.limit * this.options.patientMaxShare));
    return this.patientInFlight < most;
  }

  private wait(
    ctx: entryTypes.IRequestContext,
    work: entryTypes.IStageWork,
  ): Promise<entryTypes.IPermit> {
    const { patience } = ctx.kind;
    const expectedWait = this.estimateWait(ctx, work);
    if (this.queue.size(patience) >= this.options.maxWaiting) {
      return Promise.reject(this.refusal('queue-full', expectedWait));
    }
    const spare = work.latestStart - this.clock.monotonic();
    const tooLong = !work.begun && expectedWait > spare * this.options.queueWaitRatio;
    if (spare < 0 || tooLong) {
      return Promise.reject(this.refusal('shed', expectedWait - spare));
    }
    const waiting = new waiter.Waiter(ctx, work, (gone) => this.queue.leave(gone));
    this.queue.push(waiting);
    this.arm(work.latestStart);
    this.pump();
    return waiting.permit;
  }

  private pump(): void {
    while (this.inFlight < this.limit.limit) {
      const next = this.queue.next(this.patientRoom());
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
    const served = `${patience} ${workspace}`;
    this.served.set(served, (this.served.get(served) ?? 0) + work);
    let released = false;
    return {
      release: (outcome, latency) => {
        if (released) {
          return;
        }
        released = true;
        if (outcome === 'ok') {
          this.limit.observe(key, latency, this.inFlight);
        }
        this.inFlight -= 1;
        this.patientInFlight -= patience === 'patient' ? 1 : 0;
        this.pump();
      },
    };
  }

  private arm(at: commonTypes.Millis): void {
    if (at >= this.timerAt) {
      return;
    }
    this.timer?.dispose();
    this.timerAt = at;
    // One millisecond more, so that a timer that fires early does not fire twice.
    this.timer = this.clock.setTimer(at - this.clock.monotonic() + 1, () => this.shed());
  }

  private shed(): void {
    this.timerAt = Infinity;
    this.timer = undefined;
    const hopeless = this.queue.takeHopeless(this.clock.monotonic());
    hopeless.forEach((late) => late.refuse(this.refusal('shed', late.work)));
    this.arm(this.queue.earliest());
  }

  private refusal(code: refusals.RefusalCode, wait: commonTypes.Millis): requestError.RequestError {
    const retryAfter = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wait));
    return new requestError.RequestError(
      code,
      `pool ${this.name} is full: send the request again after the time given`,
      { run: 'not-run', retryAfter },
    );
  }
}
