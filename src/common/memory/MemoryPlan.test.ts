import * as vitest from 'vitest';
import * as memoryPlan from './MemoryPlan.js';

const { describe, expect, test } = vitest;
const LARGEST_BODY_BYTES = 4_194_304;

describe('planMemory', () => {
  test.each([
    [210e6, 3075],
    [250e6, 4100],
    [490e6, 10_250],
  ])('a VM of %d bytes holds two of the largest requests in calm', (memoryBytes, descriptors) => {
    const { plan, findings } = memoryPlan.planMemory({ memoryBytes, descriptors });
    expect(findings).toEqual([]);
    expect(plan.softBytes).toBeGreaterThan(2 * LARGEST_BODY_BYTES);
    expect(plan.hardBytes).toBeGreaterThan(plan.softBytes);
    expect(plan.connections).toBeLessThan(descriptors / 2);
    expect(plan.hardBytes).toBeLessThan(memoryBytes / 8);
  });

  test('names limits that are too low', () => {
    const { findings } = memoryPlan.planMemory({ memoryBytes: 50e6, descriptors: 410 });
    expect(findings.map(({ field }) => field)).toEqual(['memory', 'descriptors']);
  });
});
