import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import type * as crashTracker from './CrashTracker.js';
import type * as stageTimes from './StageTimes.js';

const MS_PER_SECOND = 1_000;

/** What every attempt of a stage shares. */
export interface IAttemptServices {
  readonly clock: commonTypes.IClock;
  readonly times: stageTimes.StageTimes;
  readonly crashes: crashTracker.CrashTracker;
}

/** One call to one endpoint; ends exactly once, by success, failure or cancellation. */
export class Attempt {
  /** Monotonic moment of its start. */
  readonly started: commonTypes.Millis;

  private readonly controller = new AbortController();

  private readonly flight: crashTracker.IInFlightAttempt;

  private open = true;

  private slowTimer: commonTypes.IDisposable | undefined;

  /** Starts the books of an attempt; the call itself is sent by its owner. */
  constructor(
    private readonly services: IAttemptServices,
    private readonly call: entryTypes.IStageCall,
    private readonly ctx: entryTypes.IRequestContext,
    private readonly key: string,
    private readonly choice: entryTypes.IEndpointChoice,
    /** Whether it runs beside an earlier attempt. */
    readonly isHedge: boolean,
  ) {
    this.started = services.clock.monotonic();
    this.flight = services.crashes.recordStart(choice.endpoint, ctx.fingerprint);
  }

  /** The endpoint it goes to. */
  get endpoint(): configTypes.IEndpoint {
    return this.choice.endpoint;
  }

  /** Aborts when it is cancelled. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether it has not ended. */
  get running(): boolean {
    return this.open;
  }

  /** Tells the choice when the attempt runs longer than `span`, and again at each doubling. */
  watch(span: commonTypes.Millis): void {
    this.slowTimer = this.services.clock.setTimer(span, () => {
      const elapsed = this.services.clock.monotonic() - this.started;
      this.choice.observeRunning(elapsed);
      this.watch(elapsed);
    });
  }

  /** The whole answer is here. */
  succeed(load: entryTypes.ILoadReport | undefined): void {
    if (!this.open) {
      return;
    }
    const latency = this.close();
    this.services.times.recordAttempt(this.key, latency);
    this.services.crashes.recordSuccess(this.flight);
    this.choice.settle(load ? { ok: true, latency, load } : { ok: true, latency });
  }

  /** It failed; resolves with whether its endpoint crashed. */
  async fail(failure: entryTypes.EndpointFailure): Promise<boolean> {
    if (!this.open) {
      return false;
    }
    const latency = this.close();
    this.choice.settle({ ok: false, failure, latency });
    if (failure === 'connection-lost') {
      return this.services.crashes.recordConnectionLost(this.flight);
    }
    this.services.crashes.recordEnd(this.flight);
    return false;
  }

  /** Stops it: it lost against another, or there is no time or caller left. */
  cancel(failure: 'cancelled' | 'stage-timeout'): void {
    if (!this.open) {
      return;
    }
    if (failure === 'stage-timeout') {
      this.services.times.recordAttempt(this.key, this.services.clock.monotonic() - this.started);
    }
    void this.fail(failure);
    this.controller.abort();
  }

  private close(): commonTypes.Millis {
    this.open = false;
    this.slowTimer?.dispose();
    const latency = this.services.clock.monotonic() - this.started;
    const cost = (latency / MS_PER_SECOND) * this.call.pool.costPerSecond;
    this.ctx.costs.add(this.call.stage, cost);
    return latency;
  }
}
