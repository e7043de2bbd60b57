import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as localRateLimiter from './LocalRateLimiter.js';
import * as rateLimitTable from './RateLimitTable.js';
import * as sharedRateLimiter from './SharedRateLimiter.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, it, test } = vitest;
/** Interval at which callers want to send to the endpoint. */
const STEP_MS = 5;
const WINDOW_MS = 4000;

let clock: manualClock.ManualClock;
let table: rateLimitTable.RateLimitTable;

function name(limit: number | 'none'): void {
  const sentAt = clock.monotonic();
  table.recordStatement({ endpointId: 'e', limit, origin: 'answer', sentAt });
}

/** Takes all that the limiters grant for `duration`; returns the times. */
async function takeAll(
  limiters: readonly types.IEndpointRateLimiter[],
  duration: number,
): Promise<readonly number[]> {
  const times: number[] = [];
  const takeFrom = (limiter: types.IEndpointRateLimiter): void => {
    while (limiter.take('e')) {
      times.push(clock.monotonic());
    }
  };
  for (let time = 0; time < duration; time += STEP_MS) {
    limiters.forEach(takeFrom);
    await clock.advance(STEP_MS);
  }
  return times;
}

function mostInWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((end) => times.filter((at) => at <= end && at > end - WINDOW_MS).length),
  );
}

function allowed(limit: number): number {
  return 1.5 * limit * (WINDOW_MS / 1000) + 5;
}

beforeEach(() => {
  clock = new manualClock.ManualClock();
  table = new rateLimitTable.RateLimitTable({
    clock,
    logService: new recordingLog.RecordingLogService(),
    metrics: new recordingMetrics.RecordingMetricsService(),
  });
});

describe('SharedRateLimiter', () => {
  let isConfirmed = true;
  const makeLimiter = (): sharedRateLimiter.SharedRateLimiter =>
    new sharedRateLimiter.SharedRateLimiter(table, clock, () => isConfirmed);

  beforeEach(() => {
    isConfirmed = true;
  });

  test.each([0.5, 1, 2.5, 4, 30, 200])(
    'uses a limit of %d a second and keeps it',
    async (limit) => {
      const limiter = makeLimiter();
      name(limit);
      const times = await takeAll([limiter], 20_000);
      expect(times.length).toBeGreaterThanOrEqual(0.9 * limit * 20);
      expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(limit));
    },
  );

  test.each([0.5, 1, 4, 30, 200])(
    'grants no more than a limit of %d a second allows after a pause',
    async (limit) => {
      const limiter = makeLimiter();
      name(limit);
      await clock.advance(60_000);
      expect(mostInWindow(await takeAll([limiter], 8000))).toBeLessThanOrEqual(allowed(limit));
    },
  );

  test.each([0.5, 1, 4, 30])(
    'of a successor adds up with its predecessor for a limit of %d a second',
    async (limit) => {
      name(limit);
      const times: number[] = [];
      for (let change = 0; change < 5; change++) {
        times.push(...(await takeAll([makeLimiter()], 1500)));
      }
      expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(limit));
    },
  );

  test.each([1, 4, 30])(
    'without a quorum adds up with a successor for a limit of %d a second',
    async (limit) => {
      name(limit);
      const outdated = new sharedRateLimiter.SharedRateLimiter(table, clock, () => false);
      await clock.advance(10_000);
      const times = await takeAll([outdated, makeLimiter()], 12_000);
      expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(limit));
    },
  );

  it('does not save up calls before its VM coordinates', async () => {
    isConfirmed = false;
    const limiter = makeLimiter();
    name(4);
    await clock.advance(60_000);
    isConfirmed = true;
    limiter.reset();
    expect(limiter.take('e')).toBe(false);
    expect(limiter.delayOf('e')).toBe(250);
  });

  it('follows a limit that falls, rises and is lifted', async () => {
    const limiter = makeLimiter();
    name(4);
    await clock.advance(10_000);
    name(1);
    expect(limiter.rateOf('e')).toBe(1);
    expect((await takeAll([limiter], 4000)).length).toBeLessThanOrEqual(allowed(1));
    name(10);
    expect((await takeAll([limiter], 4000)).length).toBeGreaterThanOrEqual(36);
    name('none');
    expect(limiter.rateOf('e')).toBeUndefined();
    expect(limiter.delayOf('e')).toBe(0);
    expect(limiter.take('e')).toBe(true);
  });

  it('lets a call through now and then when the limit is zero, so that its end is seen', async () => {
    const limiter = makeLimiter();
    name(0);
    const times = await takeAll([limiter], 60_000);
    expect(times.length).toBeGreaterThan(0);
    expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(0));
  });

  it('states the time until the next call', async () => {
    const limiter = makeLimiter();
    name(2);
    expect(limiter.delayOf('e')).toBe(500);
    await clock.advance(500);
    expect(limiter.delayOf('e')).toBe(0);
    expect(limiter.take('e')).toBe(true);
    expect(limiter.take('e')).toBe(false);
  });
});

describe('LocalRateLimiter', () => {
  const makeLimiters = (
    count: number,
    seed: number,
  ): readonly localRateLimiter.LocalRateLimiter[] =>
    Array.from({ length: count }, (_, at) => {
      const random = new seededRandom.SeededRandom(seed * 1000 + at);
      return new localRateLimiter.LocalRateLimiter(table, clock, random, () => count);
    });

  test.each([
    [12, 1],
    [12, 4],
    [96, 0],
    [96, 1],
    [96, 30],
  ])('of %i VMs without a coordinator keeps a limit of %d a second', async (count, limit) => {
    name(limit);
    const limiters = makeLimiters(count, 5);
    // A share that could be saved up would be spent by all VMs at once after this pause.
    await clock.advance(600_000);
    const times = await takeAll(limiters, 20_000);
    expect(times.length).toBeLessThanOrEqual(0.5 * Math.max(limit, 0.1) * 20 + 5);
    expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(limit));
  });

  test.each([1, 4, 30])(
    'adds up with a coordinator that grants a limit of %d a second to other VMs',
    async (limit) => {
      name(limit);
      const shared = new sharedRateLimiter.SharedRateLimiter(table, clock, () => true);
      const times = await takeAll([shared, ...makeLimiters(12, 9)], 30_000);
      expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(limit));
    },
  );

  it('does not limit an endpoint that names no limit', () => {
    const [limiter] = makeLimiters(1, 1) as readonly [localRateLimiter.LocalRateLimiter];
    expect(limiter.rateOf('e')).toBeUndefined();
    expect(limiter.delayOf('e')).toBe(0);
    expect(limiter.take('e')).toBe(true);
  });
});
