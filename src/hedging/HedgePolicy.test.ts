import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as hedgePolicy from './HedgePolicy.js';
import * as slowEndpoints from './testing/SlowEndpoints.js';
import type * as types from './Types.js';

const { describe, expect, test } = vitest;

const ON: types.IHedgeLimits = { workRatio: 0.05, burst: 5 };
const OFF: types.IHedgeLimits = { workRatio: 0, burst: 0 };
const SEEDS = [1, 2, 3];

function quantile(times: readonly number[], rank: number): number {
  return times[Math.floor(times.length * rank)] ?? 0;
}

/** Plays the same requests with hedges and without. */
async function compare(
  options: Omit<slowEndpoints.IPlay, 'limits'>,
): Promise<{ readonly on: slowEndpoints.IPlayed; readonly off: slowEndpoints.IPlayed }> {
  const on = await slowEndpoints.play({ ...options, limits: ON });
  const off = await slowEndpoints.play({ ...options, limits: OFF });
  return { on, off };
}

describe('hedges', () => {
  test.each(SEEDS)(
    'halve the slowest answers of one slow endpoint in ten, seed %i',
    async (seed) => {
      const slowdown = (endpoint: number): number => (endpoint === 0 ? 6 : 1);
      const { on, off } = await compare({
        seed,
        requests: 4000,
        gap: 30,
        endpoints: 10,
        slowdown,
      });
      expect(on.hedgeWork).toBeLessThanOrEqual(ON.workRatio * on.firstWork);
      expect(quantile(on.times, 0.98)).toBeLessThanOrEqual(0.5 * quantile(off.times, 0.98));
      expect(quantile(on.times, 0.5)).toBeLessThanOrEqual(1.02 * quantile(off.times, 0.5));
    },
  );

  test.each(SEEDS)('fade to none when all endpoints turn slow, seed %i', async (seed) => {
    const slowdown = (_: number, now: number): number => (now > 20_000 ? 4 : 1);
    const { on, off } = await compare({
      seed,
      requests: 1600,
      gap: 50,
      endpoints: 12,
      slowdown,
    });
    expect(on.lateHedges).toBeLessThanOrEqual(0.02 * 400);
    expect(quantile(on.times, 0.5)).toBeLessThanOrEqual(1.05 * quantile(off.times, 0.5));
  });

  test.each(SEEDS)(
    'leave the room to first attempts at 0.95 of the load, seed %i',
    async (seed) => {
      const slowdown = (endpoint: number): number => (endpoint === 0 ? 1.5 : 1);
      const { on, off } = await compare({
        seed,
        requests: 4000,
        gap: 100 / (9.67 * 0.95),
        endpoints: 10,
        slowdown,
      });
      expect(on.hedgeWork).toBeLessThanOrEqual(ON.workRatio * on.firstWork);
      expect(quantile(on.times, 0.5)).toBeLessThanOrEqual(1.02 * quantile(off.times, 0.5));
    },
  );
});

describe('HedgePolicy', () => {
  const attempt: types.IFirstAttempt = {
    service: 'engines',
    availabilityZone: 'a',
    work: 100,
    workAhead: 100,
  };

  function policyAfter(
    answers: number,
    limits = ON,
    clock = new manualClock.ManualClock(),
  ): hedgePolicy.HedgePolicy {
    const policy = new hedgePolicy.HedgePolicy(limits, clock);
    for (let index = 0; index < answers; index++) {
      policy.recordFirst(attempt);
      policy.recordAnswer(attempt, 100);
    }
    return policy;
  }

  test('names no delay before it knows enough answers', () => {
    expect(policyAfter(39).delayFor(attempt)).toBeUndefined();
    expect(policyAfter(40).delayFor(attempt)).toBeGreaterThanOrEqual(100);
  });

  test('forgets answers after a pause', async () => {
    const clock = new manualClock.ManualClock();
    const policy = policyAfter(100, ON, clock);
    await clock.advance(60_000);
    expect(policy.delayFor(attempt)).toBeUndefined();
  });

  test('waits longer for an answer that has more work ahead of it', () => {
    const policy = policyAfter(100);
    const delay = policy.delayFor(attempt) ?? 0;
    expect(policy.delayFor({ ...attempt, workAhead: 1000 })).toBeGreaterThan(5 * delay);
  });

  test('grants no more than its part of the work, and nothing where the endpoints are full', () => {
    const policy = policyAfter(100);
    expect(policy.request(attempt, { occupancy: 0.9 })).toBe('no-room');
    const verdicts = Array.from({ length: 8 }, () => policy.request(attempt, { occupancy: 0.1 }));
    expect(verdicts.filter((verdict) => verdict === 'granted')).toHaveLength(5);
    expect(verdicts.at(-1)).toBe('over-limit');
  });

  test('grants nothing while many answers are late', () => {
    const policy = policyAfter(20);
    Array.from({ length: 10 }, () => policy.request(attempt, { occupancy: 0.9 }));
    expect(policy.request(attempt, { occupancy: 0.1 })).toBe('all-slow');
  });

  test('names the zone from which the late answers come', () => {
    const policy = policyAfter(20);
    ['b', 'b', 'c', 'c', 'b', 'c'].forEach((availabilityZone) =>
      policy.recordFirst({ ...attempt, availabilityZone }),
    );
    Array.from({ length: 3 }, () =>
      policy.request({ ...attempt, availabilityZone: 'b' }, { occupancy: 0.1 }),
    );
    expect(policy.isZoneLate('engines', 'b')).toBe(true);
    expect(policy.isZoneLate('engines', 'c')).toBe(false);
  });
});
