import * as timers from 'node:timers/promises';
import type * as types from './Types.js';

/** Clock of the operating system. */
export class SystemClock implements types.IClock {
  /** @inheritdoc */
  now(): types.Millis {
    return Date.now();
  }

  /** @inheritdoc */
  monotonic(): types.Millis {
    return performance.now();
  }

  /** @inheritdoc */
  setTimer(delay: types.Millis, callback: () => void): types.IDisposable {
    const timer = setTimeout(callback, Math.max(0, delay));
    return { dispose: () => clearTimeout(timer) };
  }

  /** @inheritdoc */
  async sleep(delay: types.Millis, signal?: AbortSignal): Promise<void> {
    await timers.setTimeout(Math.max(0, delay), undefined, signal ? { signal } : {});
  }
}
