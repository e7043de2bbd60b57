import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as heldResults from './HeldResults.js';

const { describe, expect, it } = vitest;

function makeRecord(segment: number, life: number) {
  return { stage: 0, segment, handle: `h${segment}`, maker: 'e1', life };
}

describe('HeldResults', () => {
  it('returns the remaining life of results and omits results that expire soon', async () => {
    const clock = new manualClock.ManualClock();
    const held = new heldResults.HeldResults(clock);
    held.track('p#1', 1, [makeRecord(0, 1000)]);
    held.add('p#1', makeRecord(1, 4000));
    await clock.advance(900);
    expect(held.resultsOf('p#1')).toEqual([makeRecord(1, 3100)]);
  });

  it('tracks the session of a plan until the plan is forgotten', () => {
    const held = new heldResults.HeldResults(new manualClock.ManualClock());
    held.track('p#1', 3, []);
    expect([held.belongsTo('p#1', 3), held.belongsTo('p#1', 4)]).toEqual([true, false]);
    held.forget('p#1');
    held.add('p#1', makeRecord(0, 4000));
    expect(held.belongsTo('p#1', 3)).toBe(false);
    expect(held.resultsOf('p#1')).toEqual([]);
  });
});
