import * as vitest from 'vitest';
import * as retryPacing from './RetryPacing.js';
import * as seededRandom from './SeededRandom.js';
import * as virtualClock from './testing/VirtualClock.js';

const { expect, test } = vitest;
const INTERVALS = { first: 100, longest: 800 };

test('attempts grow rarer up to the longest interval, and differ between processes', async () => {
  const delaysOf = (seed: number): readonly number[] => {
    const pacing = new retryPacing.RetryPacing(
      new virtualClock.VirtualClock(),
      new seededRandom.SeededRandom(seed),
      INTERVALS,
    );
    return [100, 200, 400, 800, 800].map((interval) => {
      pacing.recordAttempt();
      const { delay } = pacing;
      expect(delay).toBeGreaterThanOrEqual(interval / 2);
      expect(delay).toBeLessThanOrEqual(interval * 1.5);
      return delay;
    });
  };
  expect(delaysOf(1)).not.toEqual(delaysOf(2));
});

test('an attempt is due when its interval is over, and at once after a success', async () => {
  const clock = new virtualClock.VirtualClock();
  const pacing = new retryPacing.RetryPacing(clock, new seededRandom.SeededRandom(1), INTERVALS);
  expect(pacing.isDue).toBe(true);
  pacing.recordAttempt();
  expect(pacing.isDue).toBe(false);
  await clock.advance(pacing.delay);
  expect(pacing.isDue).toBe(true);
  pacing.recordAttempt();
  pacing.reset();
  expect(pacing.isDue).toBe(true);
});
