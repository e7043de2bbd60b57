import * as vitest from 'vitest';
import * as fixtures from './testing/Fixtures.js';
import * as testFleet from './testing/TestFleet.js';

const SEED = Number(process.env.ANVILDECK_SEED ?? 23);

vitest.describe('entry VMs together', () => {
  vitest.it(
    'lose at most two endpoints to one request sent 50 times through all of them',
    async () => {
      const fleet = new testFleet.TestFleet({
        entries: 12,
        pool: fixtures.makePool(8),
        seed: SEED,
      });
      const others: Promise<testFleet.IFleetResult>[] = [];
      const codes: (string | undefined)[] = [];
      for (let resend = 0; resend < 50; resend++) {
        for (let entry = 0; entry < 12; entry += 3) {
          others.push(fleet.run(entry, { id: `i-${resend}-${entry}`, deadlineMs: 8_000 }));
        }
        const id = `poison-${resend}`;
        const done = fleet.run(resend % 12, { id, fingerprint: 'poison', deadlineMs: 8_000 });
        codes.push((await fleet.advanceUntil(done)).error?.code);
      }
      await fleet.clock.advance(10_000);
      const results = await Promise.all(others);
      fleet.dispose();
      vitest.expect(fleet.endpoints.crashes).toBeLessThanOrEqual(2);
      vitest.expect(codes.slice(1).every((code) => code === 'quarantined')).toBe(true);
      vitest.expect(results.filter((result) => result.error)).toEqual([]);
      vitest.expect(fleet.checker.violations()).toEqual([]);
    },
  );

  vitest.it(
    'send no new work to a leaving endpoint after 3 s, although only one VM read the list',
    async () => {
      const fleet = new testFleet.TestFleet({
        entries: 12,
        pool: fixtures.makePool(4),
        seed: SEED,
      });
      fleet.platform.markLeaving('llm-2', 1_500);
      fleet.checker.observeLeaving('llm-2', fleet.clock.monotonic());
      for (let round = 0; round < 60; round++) {
        const done = Promise.all(
          [0, 5, 10].map((entry) => fleet.run(entry, { id: `r-${round}-${entry}` })),
        );
        await fleet.clock.advance(100);
        await done;
      }
      fleet.dispose();
      vitest.expect(fleet.checker.violations()).toEqual([]);
      vitest.expect(fleet.callsAt('llm-2')).toBeGreaterThan(0);
    },
  );

  vitest.it(
    'continue when the platform shows an empty list and when it is unreachable',
    async () => {
      const fleet = new testFleet.TestFleet({ entries: 3, pool: fixtures.makePool(4), seed: SEED });
      await fleet.clock.advance(3_000);
      fleet.platform.empty = true;
      await fleet.clock.advance(5_000);
      const first = fleet.run(0, { id: 'r1' });
      await fleet.clock.advance(100);
      vitest.expect((await first).error).toBeUndefined();
      fleet.platform.unreachable = true;
      await fleet.clock.advance(120_000);
      const second = fleet.run(1, { id: 'r2' });
      await fleet.clock.advance(100);
      vitest.expect((await second).error).toBeUndefined();
      fleet.dispose();
      vitest.expect(fleet.checker.violations()).toEqual([]);
    },
  );

  vitest.it('divide a full pool among workspaces across all VMs, not per VM', async () => {
    // Workspace w1 sends through both VMs and w2 through only one of them; the pool is saturated.
    const pool = fixtures.makePool(2);
    const limits = { maxConcurrencyPerEndpoint: 2, initialConcurrencyPerEndpoint: 2 };
    const options = { entries: 2, pool, seed: SEED, overrides: { limits } };
    const fleet = new testFleet.TestFleet({ ...options, slots: 4, callMs: 50 });
    const served = { w1: 0, w2: 0 };
    const sendOne = (entry: number, workspace: 'w1' | 'w2', round: number): void => {
      const id = `${workspace}-${entry}-${round}`;
      void fleet.run(entry, { id, workspace, deadlineMs: 2_000 }).then((result) => {
        served[workspace] += result.error ? 0 : 1;
      });
    };
    for (let round = 0; round < 2_000; round++) {
      sendOne(0, 'w1', round);
      sendOne(1, 'w1', round);
      sendOne(1, 'w2', round);
      await fleet.clock.advance(8);
    }
    await fleet.clock.advance(3_000);
    fleet.dispose();
    // Without the exchange w2 would receive half of the work of one of two VMs: a quarter.
    const w2Ratio = served.w2 / (served.w1 + served.w2);
    vitest.expect(w2Ratio).toBeGreaterThan(0.35);
    vitest.expect(fleet.checker.violations()).toEqual([]);
  });
});
