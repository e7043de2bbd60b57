import * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as services from '../services/Services.js';
import type * as entryTypes from '../Types.js';

/** What names a request. */
export interface IRequestIdentity {
  readonly id: string;
  readonly workspace: string;
  readonly target: string;
  readonly kind: configTypes.IRequestKind;
  readonly fingerprint: string;
  /** Milliseconds that the caller grants; the declared deadline when absent or larger. */
  readonly deadlineMs: commonTypes.Millis | undefined;
}

/** The life of one request: its deadline, its cancellation, its costs. */
export class RequestScope implements entryTypes.ICostSink, commonTypes.IDisposable {
  /** Seen by everything that works for the request. */
  readonly ctx: entryTypes.IRequestContext;

  private readonly callerAbort = new AbortController();

  private deadlineAbort: AbortController | undefined;

  private expired: requestError.RequestError | undefined;

  private readonly timer: commonTypes.IDisposable;

  private readonly byStage = new Map<string, services.IStageCost>();

  /** Starts the deadline; `arrived` is a monotonic moment. */
  constructor(
    private readonly names: IRequestIdentity,
    private readonly clock: commonTypes.IClock,
    arrived: commonTypes.Millis,
  ) {
    const declared = names.kind.deadlineMs;
    const span = Math.min(names.deadlineMs ?? declared, declared);
    this.ctx = {
      id: names.id,
      workspace: names.workspace,
      target: names.target,
      kind: names.kind,
      arrived,
      deadline: arrived + span,
      fingerprint: names.fingerprint,
      signal: this.callerAbort.signal,
      costs: this,
    };
    this.timer = clock.setTimer(arrived + span - clock.monotonic(), () => this.expire());
  }

  /** The same context for work that goes on when its caller leaves, until the deadline. */
  get detached(): entryTypes.IRequestContext {
    if (!this.deadlineAbort) {
      this.deadlineAbort = new AbortController();
      if (this.expired) {
        this.deadlineAbort.abort(this.expired);
      }
    }
    return { ...this.ctx, signal: this.deadlineAbort.signal };
  }

  /** Costs so far. */
  get costs(): readonly services.IStageCost[] {
    return [...this.byStage.values()];
  }

  /** Milliseconds since arrival. */
  get elapsed(): commonTypes.Millis {
    return this.clock.monotonic() - this.ctx.arrived;
  }

  /** Whether the deadline has passed. */
  get deadlinePassed(): boolean {
    return this.clock.monotonic() > this.ctx.deadline;
  }

  /** @inheritdoc */
  add(stage: string, cost: number): void {
    const before = this.byStage.get(stage) ?? { stage, cost: 0, attempts: 0 };
    const after = { stage, cost: before.cost + cost, attempts: before.attempts + 1 };
    this.byStage.set(stage, after);
  }

  /** Cancels every stage because the caller is gone. */
  cancelOnDisconnect(): void {
    const message = 'the caller closed the connection';
    this.callerAbort.abort(
      new requestError.RequestError('caller-gone', message, { run: 'unknown' }),
    );
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer.dispose();
  }

  private expire(): void {
    const message = `the deadline of ${this.names.kind.name} passed before the answer was whole`;
    const reason = new requestError.RequestError('deadline-exceeded', message, { run: 'unknown' });
    this.expired = reason;
    this.deadlineAbort?.abort(reason);
    this.callerAbort.abort(reason);
  }
}
