import * as timers from 'node:timers/promises';
import type * as types from './Types.js';

/** Longest time that a timer of Node holds; it fires a longer one at once. */
const MAX_TIMER_MS: types.Millis = 2 ** 31 - 1;

/** Clock of the operating system. Timers longer than 24 days fire after 24 days. */
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
    const timer = setTimeout(callback, boundDelay(delay));
    return { dispose: () => clearTimeout(timer) };
  }

  /** @inheritdoc */
  async sleep(delay: types.Millis, signal?: AbortSignal): Promise<void> {
    await timers.setTimeout(boundDelay(delay), undefined, signal ? { signal } : {});
  }
}

function boundDelay(delay: types.Millis): types.Millis {
  return Math.min(MAX_TIMER_MS, Math.max(0, delay));
}
