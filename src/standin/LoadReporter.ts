import type * as commonTypes from '../common/Types.js';
import type * as slotQueue from './SlotQueue.js';
import type * as types from './Types.js';

/** A sampled load, as `GET /load` gives it. */
export interface ILoad {
  readonly running: number;
  readonly waiting: number;
  readonly cache_used: number;
  readonly age_ms: commonTypes.Millis;
}

interface ISample {
  readonly at: commonTypes.Millis;
  readonly running: number;
  readonly waiting: number;
  readonly cacheUsed: number;
}

/** Reports load as it was up to `loadLagMs` ago. */
export class LoadReporter {
  private sample: ISample | undefined;

  /** Samples the queue and the share of cache in use. */
  constructor(
    private readonly ctx: types.IStandinContext,
    private readonly queue: slotQueue.SlotQueue,
    private readonly cacheUsed: () => number,
  ) {}

  /** The last sample, taken anew when it is older than the lag. */
  read(): ILoad {
    const now = this.ctx.clock.monotonic();
    let { sample } = this;
    if (sample === undefined || now - sample.at >= this.ctx.faults.loadLagMs) {
      const { running, waiting } = this.queue;
      sample = { at: now, running, waiting, cacheUsed: this.cacheUsed() };
      this.sample = sample;
    }
    return {
      running: sample.running,
      waiting: sample.waiting,
      cache_used: sample.cacheUsed,
      age_ms: Math.round(now - sample.at),
    };
  }

  /** The report as the value of `X-Load-Report`. */
  header(): string {
    const load = this.read();
    return `running=${load.running} waiting=${load.waiting} cache=${load.cache_used.toFixed(2)} age=${load.age_ms}`;
  }
}
