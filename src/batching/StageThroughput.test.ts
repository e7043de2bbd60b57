import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as stageThroughput from './StageThroughput.js';

const { describe, expect, it } = vitest;
const LIMITS = {
  maxConcurrentCalls: 1,
  maxItemsPerCall: 10,
  callCost: 200,
  itemCost: 20,
  resultCapacityBytes: 1000,
  resultRetention: 4000,
};

describe('StageThroughput', () => {
  it('derives the estimate from the declared costs and the slowdown of each endpoint', () => {
    const throughput = new stageThroughput.StageThroughput(new manualClock.ManualClock(), LIMITS);
    expect(throughput.estimate([1, 1], LIMITS)).toBeCloseTo(0.05);
    expect(throughput.estimate([1, 2], LIMITS)).toBeCloseTo(0.0375);
    expect(throughput.estimate([], LIMITS)).toBe(0);
  });

  it('is bounded by result capacity when results are large and held for a long time', () => {
    const throughput = new stageThroughput.StageThroughput(new manualClock.ManualClock(), LIMITS);
    for (let call = 0; call < 100; call++) {
      throughput.recordResultBytes(500);
      throughput.recordHoldTime(1000);
    }
    expect(throughput.estimate([1, 1], LIMITS)).toBeLessThan(0.005);
  });

  it('is bounded by the throughput measured while items are queued, until the queue is empty', async () => {
    const clock = new manualClock.ManualClock();
    const throughput = new stageThroughput.StageThroughput(clock, LIMITS);
    // Starts the measurement window.
    throughput.recordCompletions(0, true);
    await clock.advance(1500);
    throughput.recordCompletions(15, true);
    expect(throughput.estimate([1, 1], LIMITS)).toBeCloseTo(0.0115);
    throughput.recordCompletions(1, false);
    expect(throughput.estimate([1, 1], LIMITS)).toBeCloseTo(0.05);
  });
});
