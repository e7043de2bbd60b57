import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as stageThroughput from './StageThroughput.js';

const { describe, expect, it } = vitest;
const LIMITS = {
  calls: 1,
  items: 10,
  callCost: 200,
  itemCost: 20,
  roomBytes: 1000,
  resultLife: 4000,
};

describe('StagePace', () => {
  it('follows the declared costs and the slowness of endpoints', () => {
    const pace = new stageThroughput.StageThroughput(new manualClock.ManualClock(), LIMITS);
    expect(pace.estimate([1, 1], LIMITS)).toBeCloseTo(0.05);
    expect(pace.estimate([1, 2], LIMITS)).toBeCloseTo(0.0375);
    expect(pace.estimate([], LIMITS)).toBe(0);
  });

  it('is bound by room once results are large and held for long', () => {
    const pace = new stageThroughput.StageThroughput(new manualClock.ManualClock(), LIMITS);
    for (let call = 0; call < 100; call++) {
      pace.noteBytes(500);
      pace.noteHold(1000);
    }
    expect(pace.estimate([1, 1], LIMITS)).toBeLessThan(0.005);
  });

  it('is bound by what was made while something waited, and forgets it when nothing does', async () => {
    const clock = new manualClock.ManualClock();
    const pace = new stageThroughput.StageThroughput(clock, LIMITS);
    pace.noteMade(0, true);
    await clock.advance(1500);
    pace.noteMade(15, true);
    expect(pace.estimate([1, 1], LIMITS)).toBeCloseTo(0.0115);
    pace.noteMade(1, false);
    expect(pace.estimate([1, 1], LIMITS)).toBeCloseTo(0.05);
  });
});
