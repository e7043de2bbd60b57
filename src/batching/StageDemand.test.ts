import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as stageDemand from './StageDemand.js';

const { describe, expect, it } = vitest;
const ITEMS_PER_MS = 0.1;

describe('StageDemand', () => {
  it('counts outstanding items of the same or a more urgent priority until they are complete', () => {
    const demand = new stageDemand.StageDemand(new manualClock.ManualClock());
    demand.add(1, 20);
    demand.add(2, 30);
    expect([1, 2].map((priority) => demand.delayFor(priority, ITEMS_PER_MS) >= 200)).toEqual([
      true,
      true,
    ]);
    expect(demand.delayFor(0, ITEMS_PER_MS)).toBe(0);
    demand.add(1, -20);
    demand.add(2, -30);
    expect(demand.delayFor(2, ITEMS_PER_MS)).toBe(0);
  });

  it('reduces the throughput left for a priority by the arrival rate of more urgent ones', () => {
    const quiet = new stageDemand.StageDemand(new manualClock.ManualClock());
    const loaded = new stageDemand.StageDemand(new manualClock.ManualClock());
    quiet.add(2, 30);
    loaded.add(2, 30);
    loaded.add(0, 100);
    loaded.add(0, -100);
    expect(loaded.delayFor(2, ITEMS_PER_MS)).toBeGreaterThan(quiet.delayFor(2, ITEMS_PER_MS));
    expect(loaded.delayFor(0, ITEMS_PER_MS)).toBe(0);
  });
});
