import * as vitest from 'vitest';
import type * as routing from '../routing/Types.js';
import * as stageEstimate from './StageEstimate.js';
import type * as stageScheduler from './StageScheduler.js';

const { describe, expect, it } = vitest;
const CALL_MS = 300;
const WAIT_MS = 50;
const STAGES: readonly routing.IStage[] = [
  { service: 'a', after: [], resultBytes: 1 },
  { service: 'b', after: [0], resultBytes: 1 },
  { service: 'c', after: [1], resultBytes: 1 },
];

/** Completion of a request whose stages have outstanding work for `delays` milliseconds. */
function completion(
  delays: Readonly<Record<string, number>>,
  { itemCounts = [1, 1, 1], complete = [] as readonly number[], stages = STAGES } = {},
): number {
  const schedulerOf = (service: string): stageScheduler.StageScheduler | undefined =>
    service in delays
      ? ({
          averageWait: WAIT_MS,
          typicalCallTime: CALL_MS,
          demandDelay: () => delays[service] ?? 0,
        } as unknown as stageScheduler.StageScheduler)
      : undefined;
  const isComplete = (at: number): boolean => complete.includes(at);
  return stageEstimate.estimateCompletion({ stages, itemCounts, isComplete, schedulerOf }, 0);
}

describe('estimateCompletion', () => {
  it('does not add work that a later stage completes before the request reaches it', () => {
    const idle = completion({ a: 0, b: 0, c: 0 });
    expect(idle).toBe(3 * CALL_MS + 2 * WAIT_MS);
    expect(completion({ a: 0, b: 0, c: 700 })).toBe(idle);
    expect(completion({ a: 0, b: 350, c: 0 })).toBe(idle);
  });

  it('adds the work that is left when the request reaches a stage', () => {
    expect(completion({ a: 0, b: 0, c: 1000 })).toBe(1000 + CALL_MS);
    expect(completion({ a: 400, b: 0, c: 0 })).toBe(400 + 3 * CALL_MS + 2 * WAIT_MS);
  });

  it('passes over stages without items and stages that are complete', () => {
    const delays = { a: 900, b: 900, c: 0 };
    expect(completion(delays, { itemCounts: [0, 0, 1] })).toBe(CALL_MS);
    expect(completion(delays, { complete: [0, 1] })).toBe(CALL_MS);
    expect(completion(delays, { itemCounts: [0, 0, 0] })).toBe(0);
  });

  it('takes the longest of several chains', () => {
    const stages = [...STAGES, { service: 'a', after: [], resultBytes: 1 }];
    const itemCounts = [1, 0, 0, 1];
    expect(completion({ a: 0, b: 0, c: 0 }, { stages, itemCounts })).toBe(CALL_MS);
    expect(completion({ a: 500, b: 0, c: 0 }, { stages, itemCounts })).toBe(500 + CALL_MS);
  });

  it('never ends at a service that no endpoint serves', () => {
    expect(completion({ a: 0, b: 0 })).toBe(Number.POSITIVE_INFINITY);
    expect(completion({ a: 0, b: 0 }, { itemCounts: [1, 1, 0] })).toBe(2 * CALL_MS + WAIT_MS);
  });
});
