import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as localRateLimiter from './LocalRateLimiter.js';
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
    const times = await callCounting.takeAll(limiters, 'e', clock, 20_000);
    expect(times.length).toBeLessThanOrEqual(0.5 * Math.max(limit, 0.1) * 20 + 5);
    expect(callCounting.mostInWindow(times)).toBeLessThanOrEqual(callCounting.allowed(limit));
  });

  test.each([1, 4, 30])(
    'adds up with a coordinator that grants a limit of %d a second to other VMs',
    async (limit) => {
      name(limit);
      const shared = new sharedRateLimiter.SharedRateLimiter(table, clock, () => true);
      const times = await callCounting.takeAll(
        [shared, ...makeLimiters(12, 9)],
        'e',
        clock,
        30_000,
      );
      expect(callCounting.mostInWindow(times)).toBeLessThanOrEqual(callCounting.allowed(limit));
    },
  );

  it('does not limit an endpoint that names no limit', () => {
    const [limiter] = makeLimiters(1, 1) as readonly [localRateLimiter.LocalRateLimiter];
    expect(limiter.rateOf('e')).toBeUndefined();
    expect(limiter.delayOf('e')).toBe(0);
    expect(limiter.take('e')).toBe(true);
  });
});
