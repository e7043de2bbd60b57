import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as stageDemand from './StageDemand.js';

const { describe, expect, it } = vitest;
const RESULT_BYTES = 1000;
const THROUGHPUT = { items: 0.1, smallItems: 0.1 };

describe('StageDemand', () => {
  it('counts outstanding items of the same or a more urgent priority until they are complete', () => {
    const demand = new stageDemand.StageDemand(new manualClock.ManualClock());
    demand.add(1, 20, RESULT_BYTES);
    demand.add(2, 30, RESULT_BYTES);
    expect(
      [1, 2].map((priority) => demand.delayFor(priority, RESULT_BYTES, THROUGHPUT) >= 200),
    ).toEqual([true, true]);
    expect(demand.delayFor(0, RESULT_BYTES, THROUGHPUT)).toBe(0);
    demand.add(1, -20, RESULT_BYTES);
    demand.add(2, -30, RESULT_BYTES);
    expect(demand.delayFor(2, RESULT_BYTES, THROUGHPUT)).toBe(0);
  });

  it('reduces the throughput left for a priority by the arrival rate of more urgent ones', () => {
    const quiet = new stageDemand.StageDemand(new manualClock.ManualClock());
    const loaded = new stageDemand.StageDemand(new manualClock.ManualClock());
    quiet.add(2, 30, RESULT_BYTES);
    loaded.add(2, 30, RESULT_BYTES);
    loaded.add(0, 100, RESULT_BYTES);
    loaded.add(0, -100, RESULT_BYTES);
    expect(loaded.delayFor(2, RESULT_BYTES, THROUGHPUT)).toBeGreaterThan(
      quiet.delayFor(2, RESULT_BYTES, THROUGHPUT),
    );
    expect(loaded.delayFor(0, RESULT_BYTES, THROUGHPUT)).toBe(0);
  });

  it('does not delay items with small results by large ones that wait for room', () => {
    const demand = new stageDemand.StageDemand(new manualClock.ManualClock());
    const throughput = { items: 0.1, smallItems: 0.4 };
    demand.add(1, 300, 100 * RESULT_BYTES);
    demand.add(1, 30, RESULT_BYTES);
    expect(demand.delayFor(1, 100 * RESULT_BYTES, throughput)).toBeCloseTo(3300);
    expect(demand.delayFor(1, RESULT_BYTES, throughput)).toBeLessThan(200);
  });

  it('delays the first item with a small result while large ones use all calls', () => {
    const demand = new stageDemand.StageDemand(new manualClock.ManualClock());
    demand.add(1, 100, 100 * RESULT_BYTES);
    expect(demand.delayFor(1, RESULT_BYTES, THROUGHPUT)).toBeCloseTo(1000);
  });

  it('delays items with small results as much as large ones while calls are the limit', () => {
    const demand = new stageDemand.StageDemand(new manualClock.ManualClock());
    demand.add(1, 90, 100 * RESULT_BYTES);
    demand.add(1, 10, RESULT_BYTES);
    expect(demand.delayFor(1, RESULT_BYTES, THROUGHPUT)).toBeCloseTo(1000);
  });
});
