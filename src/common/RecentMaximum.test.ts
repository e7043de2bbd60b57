import * as vitest from 'vitest';
import * as recentMaximum from './RecentMaximum.js';
import * as manualClock from './testing/ManualClock.js';

const { expect, test } = vitest;

test('RecentMaximum falls to a lower value only after its window', async () => {
  const clock = new manualClock.ManualClock();
  const maximum = new recentMaximum.RecentMaximum(clock, 1000);
  expect(maximum.value).toBe(0);
  maximum.record(12);
  await clock.advance(500);
  maximum.record(1);
  expect(maximum.value).toBe(12);
  await clock.advance(400);
  maximum.record(5);
  await clock.advance(200);
  expect(maximum.value).toBe(5);
  await clock.advance(5000);
  expect(maximum.value).toBe(5);
  maximum.record(20);
  expect(maximum.value).toBe(20);
});
