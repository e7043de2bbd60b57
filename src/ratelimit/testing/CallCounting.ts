import type * as manualClock from '../../common/testing/ManualClock.js';
import type * as types from '../Types.js';

/** Interval at which callers want to send to the endpoint. */
const STEP_MS = 5;
const WINDOW_MS = 4000;

/** Takes all calls to `endpointId` that the limiters grant for `duration`; returns their times. */
export async function takeAll(
  limiters: readonly types.IEndpointRateLimiter[],
  endpointId: string,
  clock: manualClock.ManualClock,
  duration: number,
): Promise<readonly number[]> {
  const times: number[] = [];
  const takeFrom = (limiter: types.IEndpointRateLimiter): void => {
    while (limiter.take(endpointId)) {
      times.push(clock.monotonic());
    }
  };
  for (let time = 0; time < duration; time += STEP_MS) {
    limiters.forEach(takeFrom);
    await clock.advance(STEP_MS);
  }
  return times;
}

/** Highest number of calls in any window of four seconds. */
export function mostInWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((end) => times.filter((at) => at <= end && at > end - WINDOW_MS).length),
  );
}

/** Calls that a limit of `limit` a second allows in such a window. */
export function allowed(limit: number): number {
  return 1.5 * limit * (WINDOW_MS / 1000) + 5;
}
