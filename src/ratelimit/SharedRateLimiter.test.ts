import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as rateLimitTable from './RateLimitTable.js';
import * as sharedRateLimiter from './SharedRateLimiter.js';
import * as callCounting from './testing/CallCounting.js';

const { beforeEach, describe, expect, it, test } = vitest;

let clock: manualClock.ManualClock;
let table: rateLimitTable.RateLimitTable;

function name(limit: number | 'none'): void {
  const sentAt = clock.monotonic();
  table.recordStatement({ endpointId: 'e', limit, origin: 'answer', sentAt });
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
      const times = await callCounting.takeAll([limiter], 'e', clock, 20_000);
      expect(times.length).toBeGreaterThanOrEqual(0.9 * limit * 20);
      expect(callCounting.mostInWindow(times)).toBeLessThanOrEqual(callCounting.allowed(limit));
    },
  );

  test.each([0.5, 1, 4, 30, 200])(
    'grants no more than a limit of %d a second allows after a pause',
    async (limit) => {
      const limiter = makeLimiter();
      name(limit);
      await clock.advance(60_000);
      expect(
        callCounting.mostInWindow(await callCounting.takeAll([limiter], 'e', clock, 8000)),
      ).toBeLessThanOrEqual(callCounting.allowed(limit));
    },
  );

  test.each([0.5, 1, 4, 30])(
    'of a successor adds up with its predecessor for a limit of %d a second',
    async (limit) => {
      name(limit);
      const times: number[] = [];
      for (let change = 0; change < 5; change++) {
        times.push(...(await callCounting.takeAll([makeLimiter()], 'e', clock, 1500)));
      }
      expect(callCounting.mostInWindow(times)).toBeLessThanOrEqual(callCounting.allowed(limit));
    },
  );

  test.each([1, 4, 30])(
    'without a quorum adds up with a successor for a limit of %d a second',
    async (limit) => {
      name(limit);
      const outdated = new sharedRateLimiter.SharedRateLimiter(table, clock, () => false);
      await clock.advance(10_000);
      const times = await callCounting.takeAll([outdated, makeLimiter()], 'e', clock, 12_000);
      expect(callCounting.mostInWindow(times)).toBeLessThanOrEqual(callCounting.allowed(limit));
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
    expect((await callCounting.takeAll([limiter], 'e', clock, 4000)).length).toBeLessThanOrEqual(
      callCounting.allowed(1),
    );
    name(10);
    expect((await callCounting.takeAll([limiter], 'e', clock, 4000)).length).toBeGreaterThanOrEqual(
      36,
    );
    name('none');
    expect(limiter.rateOf('e')).toBeUndefined();
    expect(limiter.delayOf('e')).toBe(0);
    expect(limiter.take('e')).toBe(true);
  });

  it('lets a call through now and then when the limit is zero, so that its end is seen', async () => {
    const limiter = makeLimiter();
    name(0);
    const times = await callCounting.takeAll([limiter], 'e', clock, 60_000);
    expect(times.length).toBeGreaterThan(0);
    expect(callCounting.mostInWindow(times)).toBeLessThanOrEqual(callCounting.allowed(0));
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
