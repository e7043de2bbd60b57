import type * as types from '../Types.js';

const WINDOW_MS = 1000;
const WEIGHTS_PATH = /^\/v1\/weights\/[^/]+$/;

/** The store of model weights, which allows some loads a second and refuses the rest. */
export class WeightStoreHandler implements types.IHandler {
  private readonly loads: number[] = [];

  /** Answers for one stand-in. */
  constructor(private readonly ctx: types.IStandinContext) {}

  /** @inheritdoc */
  isWork(): boolean {
    return false;
  }

  /** @inheritdoc */
  handle(call: types.ICall): Promise<types.IReply> {
    if (!WEIGHTS_PATH.test(call.path)) {
      return Promise.resolve({ status: 404, json: { error: 'no such path' } });
    }
    const now = this.ctx.clock.monotonic();
    while (this.loads.length > 0 && now - (this.loads[0] ?? now) >= WINDOW_MS) {
      this.loads.shift();
    }
    if (this.loads.length >= this.ctx.faults.weightsPerSecond) {
      const headers = { 'Retry-After': '1' };
      return Promise.resolve({ status: 429, headers, json: { error: 'over the rate' } });
    }
    this.loads.push(now);
    return Promise.resolve({ status: 200, json: { path: call.path } });
  }
}
