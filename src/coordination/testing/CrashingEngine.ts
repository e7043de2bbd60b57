import type * as commonTypes from '../../common/Types.js';
import type * as routing from '../../routing/Types.js';

/** Time from a request's arrival at an engine to the begin of its answer, at most. */
const MAX_PREFILL_MS = 400;
/** Duration of an answer, at least, and what may be added to it. */
const MIN_RUN_MS = 300;
const MAX_EXTRA_RUN_MS = 3000;
/** Time after a crash in which an engine refuses connections. */
const DOWN_MS = 3000;

/** A VM's view of one request at an engine. */
export interface IEngineCall {
  readonly isDeadly: boolean;
  /** The answer has begun. */
  readonly onStarted: () => void;
  /** The request has left the engine. */
  readonly onEnded: (end: 'whole' | 'broken' | 'not-run' | 'quarantined') => void;
}

/** An engine that crashes when it begins the answer of a deadly request. */
export class CrashingEngine {
  /** Its crashes under deadly requests, with the times at which these had arrived. */
  readonly crashes: { readonly at: commonTypes.Millis; readonly sentAt: commonTypes.Millis }[] = [];

  private readonly calls = new Set<IEngineCall>();

  private upAt: commonTypes.Millis = 0;

  /** Up at first. */
  constructor(
    readonly endpoint: routing.IEndpoint,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
  ) {}

  /** Whether it refuses connections. */
  get isDown(): boolean {
    return this.clock.monotonic() < this.upAt;
  }

  /** Accepts a request; returns false if the engine is down. */
  accept(call: IEngineCall): boolean {
    if (this.isDown) {
      return false;
    }
    this.calls.add(call);
    const sentAt = this.clock.monotonic();
    this.clock.setTimer(this.random.next() * MAX_PREFILL_MS, () => this.begin(call, sentAt));
    return true;
  }

  /** Drops a request whose VM has closed the connection. */
  cancel(call: IEngineCall): void {
    this.calls.delete(call);
  }

  /** Ends the process: all connections break. */
  kill(): void {
    this.upAt = this.clock.monotonic() + DOWN_MS;
    const calls = [...this.calls];
    this.calls.clear();
    calls.forEach(({ onEnded }) => onEnded('broken'));
  }

  /** Breaks all connections, for example by a fault of the link; the process lives. */
  reset(): void {
    const calls = [...this.calls];
    this.calls.clear();
    calls.forEach(({ onEnded }) => onEnded('broken'));
  }

  private begin(call: IEngineCall, sentAt: commonTypes.Millis): void {
    if (!this.calls.has(call)) {
      return;
    }
    if (call.isDeadly) {
      this.crashes.push({ at: this.clock.monotonic(), sentAt });
      this.kill();
      return;
    }
    call.onStarted();
    this.clock.setTimer(MIN_RUN_MS + this.random.next() * MAX_EXTRA_RUN_MS, () => {
      if (this.calls.delete(call)) {
        call.onEnded('whole');
      }
    });
  }
}
