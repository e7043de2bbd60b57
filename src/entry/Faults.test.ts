import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import type * as configTypes from '../config/Types.js';
import * as fixtures from './testing/Fixtures.js';
import * as testFleet from './testing/TestFleet.js';

const SEEDS = [1, 2, 3];
const ENTRIES = 3;
const ROUNDS = 400;
const ROUND_MS = 10;
const FAULT_ROUND = 100;

/** Injects a fault; `draw` returns the name of a random endpoint. */
type Fault = (fleet: testFleet.TestFleet, names: readonly string[], draw: () => string) => void;

function setFault(fleet: testFleet.TestFleet, name: string, fault: object): void {
  Object.assign(fleet.endpoints.endpoint(name).faults, fault);
}

const FAULTS: Readonly<Record<string, Fault>> = {
  straggler: (fleet, names, draw) => setFault(fleet, draw(), { slowness: 10 }),
  crash: (fleet, names, draw) => fleet.endpoints.endpoint(draw()).crash(1_000),
  'mismatched answer ids': (fleet, names, draw) => setFault(fleet, draw(), { mismatchesIds: true }),
  refusals: (fleet, names, draw) => setFault(fleet, draw(), { refuses: true }),
  'half of the endpoints failing': (fleet, names) =>
    names.slice(0, names.length / 2).forEach((name) => setFault(fleet, name, { errors: true })),
  'all endpoints failing': (fleet, names) =>
    names.forEach((name) => setFault(fleet, name, { errors: true })),
  'zone outage': (fleet, names) =>
    names
      .filter((unused, index) => index % 2 === 0)
      .forEach((name) => fleet.endpoints.endpoint(name).crash(2_000)),
  'platform list unreachable': (fleet) => Object.assign(fleet.platform, { unreachable: true }),
  'entry VM partitioned': (fleet) => fleet.network.disconnected.add('entry-1'),
  leaving: (fleet, names, draw) => {
    const name = draw();
    fleet.platform.markLeaving(name, 1_000);
    fleet.checker.observeLeaving(name, fleet.clock.monotonic());
  },
  'straggler and crash': (fleet, names, draw) => {
    setFault(fleet, draw(), { slowness: 10 });
    fleet.endpoints.endpoint(draw()).crash(1_000);
  },
  'zone outage and burst': (fleet, names, draw) => {
    FAULTS['zone outage']?.(fleet, names, draw);
    FAULTS.burst?.(fleet, names, draw);
  },
  burst: (fleet) => {
    for (let index = 0; index < 1_500; index++) {
      void fleet.run(index % ENTRIES, { id: `burst-${index}`, deadlineMs: 300 });
    }
  },
};

interface ICounts {
  sent: number;
  answered: number;
}

/** Sends one call per round: interactive, every seventh patient, and every fifth not repeatable. */
function sendRound(fleet: testFleet.TestFleet, round: number, counts: ICounts): void {
  const patience: configTypes.Patience = round % 7 === 0 ? 'patient' : 'interactive';
  const deadlineMs = patience === 'patient' ? 3_000 : 500;
  const repeatable = round % 5 !== 0;
  const request = { id: `r-${round}`, patience, deadlineMs };
  Object.assign(counts, { sent: counts.sent + 1 });
  void fleet.run(round % ENTRIES, request, { repeatable }).then((result) => {
    Object.assign(counts, { answered: counts.answered + (result.error ? 0 : 1) });
  });
}

vitest.describe('the invariants of the request path', () => {
  const cases = Object.keys(FAULTS).flatMap((fault) => SEEDS.map((seed) => [fault, seed] as const));

  vitest.it.each(cases)('hold under %s, seed %i', async (fault, seed) => {
    const pool = fixtures.makePool(6);
    const fleet = new testFleet.TestFleet({ entries: ENTRIES, pool, seed });
    const random = new seededRandom.SeededRandom(seed);
    const names = pool.endpoints.map((endpoint) => endpoint.name);
    const draw = (): string => names[random.nextInt(names.length)] ?? '';
    const counts: ICounts = { sent: 0, answered: 0 };
    for (let round = 0; round < ROUNDS; round++) {
      if (round === FAULT_ROUND) {
        FAULTS[fault]?.(fleet, names, draw);
      }
      sendRound(fleet, round, counts);
      await fleet.clock.advance(ROUND_MS);
    }
    await fleet.clock.advance(4_000);
    fleet.dispose();
    vitest.expect(fleet.checker.violations()).toEqual([]);
    // Checks the load itself: nearly all requests sent before the fault must be answered.
    vitest.expect(counts.answered).toBeGreaterThanOrEqual(FAULT_ROUND - 10);
  });
});
