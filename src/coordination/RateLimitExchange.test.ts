import * as vitest from 'vitest';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as rateLimitNetwork from './testing/RateLimitNetwork.js';
import * as tables from './testing/Tables.js';

const { describe, expect, test } = vitest;
/** Seeds of the runs with faults; `ANVILDECK_LIMIT_SEEDS=100` runs that many, for runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.ANVILDECK_LIMIT_SEEDS ?? 8) }, (_, at) => at);
const FAULTS = 12;
const MAX_FAULT_GAP_MS = 4000;
/** Requests per second that the endpoint bears while it is cold. */
const COLD_RATE = tables.WARM_UP.rate;
/** Time in which all VMs learn that an endpoint is cold, once the coordinator knows. */
const COLD_LEARNING_MS = 100;

function makeNetwork(vmCount: number, seed: number): rateLimitNetwork.RateLimitNetwork {
  return new rateLimitNetwork.RateLimitNetwork(new virtualClock.VirtualClock(), vmCount, seed);
}

/** Makes a network whose arrival times count from its start. */
function makeColdNetwork(vmCount: number, seed: number): rateLimitNetwork.RateLimitNetwork {
  return new rateLimitNetwork.RateLimitNetwork(new virtualClock.VirtualClock(0), vmCount, seed);
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

  test.each([
    ['one VM', 1],
    ['12 VMs', 12],
    ['96 VMs', 96],
  ])('%s use the rate of a cold endpoint and keep it', async (_name, vmCount) => {
    const network = makeColdNetwork(vmCount, 3);
    network.startCold(20_000);
    await network.load(100, 19_000);
    const times = network.audit.arrivalTimes('e').filter((at) => at > COLD_LEARNING_MS);
    expect(times.length).toBeGreaterThanOrEqual(0.85 * COLD_RATE * 18.5);
    expect(mostInOneSecond(times)).toBeLessThanOrEqual(1.5 * COLD_RATE + 5);
    await network.load(100, 6000);
    const warm = network.audit.arrivalTimes('e').filter((at) => at > 21_000);
    expect(warm.length).toBeGreaterThan(350);
  });

  test.each(SEEDS)(
    'keep the rate of a cold endpoint without a coordinator, seed %i',
    async (seed) => {
      const network = makeColdNetwork(seed % 2 === 0 ? 12 : 96, seed);
      network.startCold(60_000);
      await network.load(100, COLD_LEARNING_MS);
      const faults = ['successor', 'all-links', 'one-link'] as const;
      for (let fault = 0; fault < FAULTS; fault++) {
        await network.load(100, (((seed * 7 + fault * 3) % 10) / 10) * MAX_FAULT_GAP_MS);
        network.injectFault(faults[(seed + fault) % faults.length]);
      }
      await network.load(100, 8000);
      const times = network.audit.arrivalTimes('e').filter((at) => at > COLD_LEARNING_MS);
      expect(mostInOneSecond(times)).toBeLessThanOrEqual(1.5 * COLD_RATE + 5);
      expect(times.length).toBeGreaterThan(100);
    },
  );

  test('an endpoint that becomes cold again has its rate once the list says so', async () => {
    const network = makeColdNetwork(12, 5);
    network.startCold(3000);
    await network.load(100, 6000);
    network.startCold(3000);
    await network.load(100, 3000);
    const times = network.audit.arrivalTimes('e');
    const within = (from: number, to: number): readonly number[] =>
      times.filter((at) => at > from && at <= to);
    expect(within(3500, 6000).length).toBeGreaterThan(200);
    expect(mostInOneSecond(within(6000 + COLD_LEARNING_MS, 9000))).toBeLessThanOrEqual(
      1.5 * COLD_RATE + 5,
    );
  });
});

/** Most arrivals in any one second. */
function mostInOneSecond(times: readonly number[]): number {
  return Math.max(...times.map((end) => times.filter((at) => at <= end && at > end - 1000).length));
}
