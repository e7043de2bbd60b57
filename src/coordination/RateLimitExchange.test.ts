import * as vitest from 'vitest';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as rateLimitNetwork from './testing/RateLimitNetwork.js';

const { describe, expect, test } = vitest;
/** Seeds of the runs with faults; `ANVILDECK_LIMIT_SEEDS=100` runs that many, for runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.ANVILDECK_LIMIT_SEEDS ?? 8) }, (_, at) => at);
const FAULTS = 12;
const MAX_FAULT_GAP_MS = 4000;

function makeNetwork(vmCount: number, seed: number): rateLimitNetwork.RateLimitNetwork {
  return new rateLimitNetwork.RateLimitNetwork(new virtualClock.VirtualClock(), vmCount, seed);
}

describe('VMs and coordinators that exchange rate limits', () => {
  test.each([
    [12, 0.5],
    [12, 1],
    [12, 4],
    [96, 1],
    [96, 4],
    [96, 20],
  ])('%i VMs together use a limit of %d a second and keep it', async (vmCount, limit) => {
    const network = makeNetwork(vmCount, 3);
    network.setLimit(limit);
    await network.load(40 + 4 * limit, 40_000);
    expect(network.audit.violations()).toEqual([]);
    const used = network.audit.arrivalTimes('e').filter((at) => at > 3000).length;
    expect(used).toBeGreaterThanOrEqual(0.9 * limit * 37);
  });

  test('a limit that ends is lifted for all VMs within a second of the next answer', async () => {
    const network = makeNetwork(12, 4);
    network.setLimit(1);
    await network.load(40, 8000);
    network.setLimit(undefined);
    await network.load(40, 2000);
    const before = network.audit.arrivalTimes('e').length;
    await network.load(40, 5000);
    expect(network.audit.arrivalTimes('e').length - before).toBeGreaterThan(160);
  });

  test.each(SEEDS)('keep limits that change under faults, seed %i', async (seed) => {
    const network = makeNetwork(seed % 2 === 0 ? 12 : 96, seed);
    const limits = [1, 4, undefined, 0.5, 20, 1, undefined, 2];
    network.setLimit(limits[seed % limits.length] ?? 3);
    for (let fault = 0; fault < FAULTS; fault++) {
      await network.load(60, (((seed * 7 + fault * 3) % 10) / 10) * MAX_FAULT_GAP_MS);
      network.injectFault();
      if (fault % 3 === 2) {
        network.setLimit(limits[(seed + fault) % limits.length]);
      }
    }
    await network.load(60, 8000);
    expect(network.audit.violations()).toEqual([]);
  });
});
