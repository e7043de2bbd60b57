import * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as services from '../services/Services.js';
import type * as entryTypes from '../Types.js';

/** Identity of a request and the deadline that its caller sets. */
export interface IRequestIdentity {
  readonly id: string;
  readonly workspace: string;
  readonly target: string;
  readonly kind: configTypes.IRequestKind;
  readonly fingerprint: string;
  /** Time limit set by the caller, milliseconds from arrival; the declared deadline applies if absent or larger. */
  readonly deadlineMs: commonTypes.Millis | undefined;
}

/** Tracks the deadline, the cancellation and the accumulated costs of one request. */
export class RequestScope implements entryTypes.ICostSink, commonTypes.IDisposable {
  /** Context shared by all components that process the request. */
  readonly ctx: entryTypes.IRequestContext;

  private readonly callerAbort = new AbortController();

  private deadlineAbort: AbortController | undefined;

  private expiryError: requestError.RequestError | undefined;

  private readonly timer: commonTypes.IDisposable;

  private readonly costsByStage = new Map<string, services.IStageCost>();

  /** Starts the deadline timer; `arrived` is the arrival time, monotonic milliseconds. */
  constructor(
    private readonly identity: IRequestIdentity,
    private readonly clock: commonTypes.IClock,
    arrived: commonTypes.Millis,
  ) {
    const declaredMs = identity.kind.deadlineMs;
    const timeLimitMs = Math.min(identity.deadlineMs ?? declaredMs, declaredMs);
    this.ctx = {
      id: identity.id,
      workspace: identity.workspace,
      target: identity.target,
      kind: identity.kind,
      arrived,
      deadline: arrived + timeLimitMs,
      fingerprint: identity.fingerprint,
      signal: this.callerAbort.signal,
      costs: this,
    };
    this.timer = clock.setTimer(arrived + timeLimitMs - clock.monotonic(), () => this.expire());
  }

  /** Context for work that continues after its caller disconnects; its signal aborts only at the deadline. */
  get detached(): entryTypes.IRequestContext {
    if (!this.deadlineAbort) {
      this.deadlineAbort = new AbortController();
      if (this.expiryError) {
        this.deadlineAbort.abort(this.expiryError);
      }
    }
    return { ...this.ctx, signal: this.deadlineAbort.signal };
  }

  /** Costs and attempts by stage, accumulated so far. */
  get costs(): readonly services.IStageCost[] {
    return [...this.costsByStage.values()];
  }

  /** Time since arrival, milliseconds. */
  get elapsed(): commonTypes.Millis {
    return this.clock.monotonic() - this.ctx.arrived;
  }

  /** Whether the deadline has passed. */
  get deadlinePassed(): boolean {
    return this.clock.monotonic() > this.ctx.deadline;
  }

  /** @inheritdoc */
  add(stage: string, cost: number): void {
    const previous = this.costsByStage.get(stage) ?? { stage, cost: 0, attempts: 0 };
    const updated = { stage, cost: previous.cost + cost, attempts: previous.attempts + 1 };
    this.costsByStage.set(stage, updated);
  }

  /** Cancels all stages because the caller has disconnected; `detached` contexts continue. */
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
    const message = `the deadline of ${this.identity.kind.name} passed before the answer was complete`;
    const reason = new requestError.RequestError('deadline-exceeded', message, { run: 'unknown' });
    this.expiryError = reason;
    this.deadlineAbort?.abort(reason);
    this.callerAbort.abort(reason);
  }
}
