import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as stagePace from './StagePace.js';

const { describe, expect, it } = vitest;
const LIMITS = {
  maxConcurrentCalls: 1,
  maxItemsPerCall: 10,
  callCost: 200,
  itemCost: 20,
  resultCapacityBytes: 1000,
  resultRetention: 4000,
};

describe('StagePace', () => {
  it('follows the declared costs and the slowness of endpoints', () => {
    const pace = new stagePace.StagePace(new manualClock.ManualClock(), LIMITS);
    expect(pace.of([1, 1], LIMITS)).toBeCloseTo(0.05);
    expect(pace.of([1, 2], LIMITS)).toBeCloseTo(0.0375);
    expect(pace.of([], LIMITS)).toBe(0);
  });

  it('is bound by room once results are large and held for long', () => {
    const pace = new stagePace.StagePace(new manualClock.ManualClock(), LIMITS);
    for (let call = 0; call < 100; call++) {
      pace.noteBytes(500);
      pace.noteHold(1000);
    }
    expect(pace.of([1, 1], LIMITS)).toBeLessThan(0.005);
  });

  it('is bound by what was made while something waited, and forgets it when nothing does', async () => {
    const clock = new manualClock.ManualClock();
    const pace = new stagePace.StagePace(clock, LIMITS);
    pace.noteMade(0, true);
    await clock.advance(1500);
    pace.noteMade(15, true);
    expect(pace.of([1, 1], LIMITS)).toBeCloseTo(0.0115);
    pace.noteMade(1, false);
    expect(pace.of([1, 1], LIMITS)).toBeCloseTo(0.05);
  });
});
