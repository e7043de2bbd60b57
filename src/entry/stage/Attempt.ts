import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import type * as crashTracker from './CrashTracker.js';
import type * as stageTimes from './StageTimes.js';

const MS_PER_SECOND = 1_000;

/** Services that every attempt of a stage uses. */
export interface IAttemptServices {
  readonly clock: commonTypes.IClock;
  readonly times: stageTimes.StageTimes;
  readonly crashes: crashTracker.CrashTracker;
}

/**
 * Accounting of one call to one endpoint: latency, cost, crash attribution and the outcome for the endpoint
 * picker. It ends exactly once, by success, failure or cancellation.
 */
export class Attempt {
  /** Start time in monotonic milliseconds. */
  readonly started: commonTypes.Millis;

  private readonly controller = new AbortController();

  private readonly inFlight: crashTracker.IInFlightAttempt;

  private isOpen = true;

  private slowTimer: commonTypes.IDisposable | undefined;

  /** Starts the accounting of an attempt; the owner sends the call itself. */
  constructor(
    private readonly services: IAttemptServices,
    private readonly call: entryTypes.IStageCall,
    private readonly ctx: entryTypes.IRequestContext,
    private readonly key: string,
    private readonly choice: entryTypes.IEndpointChoice,
    /** Whether the attempt is a hedge, which runs in parallel with an earlier attempt. */
    readonly isHedge: boolean,
  ) {
    this.started = services.clock.monotonic();
    this.inFlight = services.crashes.recordStart(choice.endpoint, ctx.fingerprint);
  }

  /** The endpoint chosen for this attempt. */
  get endpoint(): configTypes.IEndpoint {
    return this.choice.endpoint;
  }

  /** Signal that aborts when the attempt is cancelled. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the attempt has not ended yet. */
  get running(): boolean {
    return this.isOpen;
  }

  /** Reports to the endpoint choice after `delay` milliseconds, and again each time the elapsed time doubles. */
  watchSlowness(delay: commonTypes.Millis): void {
    this.slowTimer = this.services.clock.setTimer(delay, () => {
      const elapsed = this.services.clock.monotonic() - this.started;
      this.choice.observeRunning(elapsed);
      this.watchSlowness(elapsed);
    });
  }

  /** Ends the attempt after its whole answer has arrived; no effect when it has already ended. */
  succeed(load: entryTypes.ILoadReport | undefined): void {
    if (!this.isOpen) {
      return;
    }
    const latency = this.close();
    this.services.times.recordAttempt(this.key, latency);
    this.services.crashes.recordSuccess(this.inFlight);
    this.choice.settle(load ? { ok: true, latency, load } : { ok: true, latency });
  }

  /** Ends the attempt with a failure; resolves with whether its endpoint crashed. */
  async fail(failure: entryTypes.EndpointFailure): Promise<boolean> {
    if (!this.isOpen) {
      return false;
    }
    const latency = this.close();
    this.choice.settle({ ok: false, failure, latency });
    if (failure === 'connection-lost') {
      return this.services.crashes.recordConnectionLost(this.inFlight);
    }
    this.services.crashes.recordEnd(this.inFlight);
    return false;
  }

  /** Cancels the attempt because another one won, the stage timed out or the caller disconnected. */
  cancel(failure: 'cancelled' | 'stage-timeout'): void {
    if (!this.isOpen) {
      return;
    }
    if (failure === 'stage-timeout') {
      this.services.times.recordAttempt(this.key, this.services.clock.monotonic() - this.started);
    }
    void this.fail(failure);
    this.controller.abort();
  }

  private close(): commonTypes.Millis {
    this.isOpen = false;
    this.slowTimer?.dispose();
    const latency = this.services.clock.monotonic() - this.started;
    const cost = (latency / MS_PER_SECOND) * this.call.pool.costPerSecond;
    this.ctx.costs.add(this.call.stage, cost);
    return latency;
  }
}
