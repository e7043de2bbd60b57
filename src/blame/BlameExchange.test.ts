import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import type * as blameTable from './BlameTable.js';
import * as blame from './testing/Blame.js';
import type * as types from './Types.js';

const { describe, expect, it } = vitest;
const VM_COUNT = 4;
const PARTS = ['p', 'q', 'r'];
const REQUESTS = ['a', 'b', 'c'];
/** Rounds in which each table has told all others what it knows, and what that made it clear. */
const ROUNDS = 3;
/** `ANVILDECK_BLAME_RUNS=5000` runs that many, for runs by hand. */
const SETTINGS = { numRuns: Number(process.env.ANVILDECK_BLAME_RUNS ?? 100), seed: 11 };

/** What one VM observes: a crash or a success, some time after the event before. */
interface IObservation {
  readonly vm: number;
  readonly isCrash: boolean;
  readonly delay: number;
  readonly traits: types.IRequestTraits;
}

const observations: fastCheck.Arbitrary<readonly IObservation[]> = fastCheck.array(
  fastCheck.record({
    vm: fastCheck.nat(VM_COUNT - 1),
    isCrash: fastCheck.boolean(),
    delay: fastCheck.constantFrom(0, 10, 600, 1500, 30_000, 70_000),
    traits: fastCheck.record({
      request: fastCheck.constantFrom(...REQUESTS),
      parts: fastCheck.subarray(PARTS),
    }),
  }),
  { maxLength: 12 },
);

function makeTables(clock: virtualClock.VirtualClock): readonly blameTable.BlameTable[] {
  return Array.from({ length: VM_COUNT }, () => blame.makeTable(clock));
}

function observe(table: blameTable.BlameTable, id: string, now: number, seen: IObservation): void {
  if (seen.isCrash) {
    const suspects = [{ ...seen.traits, placedAt: now - 20 }];
    table.recordCrash({ id, endpointId: `e-${id}`, at: now, suspects });
  } else {
    table.recordProof(seen.traits);
  }
}

function verdictsOf(table: blameTable.BlameTable): readonly unknown[] {
  return [...REQUESTS, ...PARTS].map((trait) => {
    const verdict = table.verdictOf({ request: trait, parts: [] });
    return verdict && { trait, until: verdict.until, lastCrashAt: verdict.lastCrashAt };
  });
}

/** Passes the news of all tables to all others, in an order that depends on the seed, some of them twice. */
function exchange(tables: readonly blameTable.BlameTable[], seed: number): void {
  const random = new seededRandom.SeededRandom(seed);
  for (let round = 0; round < ROUNDS; round++) {
    const pairs = tables.flatMap((from) => tables.map((to) => ({ from, to, at: random.next() })));
    const repeated = pairs.filter(() => random.next() < 0.3);
    [...pairs, ...repeated]
      .sort((a, b) => a.at - b.at)
      .forEach(({ from, to }) => to.merge(from.news));
  }
}

describe('tables that exchange their news', () => {
  it('agree, in whatever order and how often the news arrive', async () => {
    let verdictCount = 0;
    await fastCheck.assert(
      fastCheck.asyncProperty(
        observations,
        fastCheck.nat(),
        fastCheck.nat(),
        async (seen, s1, s2) => {
          const clock = new virtualClock.VirtualClock();
          const [first, second] = [makeTables(clock), makeTables(clock)];
          for (let at = 0; at < seen.length; at++) {
            const observation = seen[at] as IObservation;
            await clock.advance(observation.delay);
            [first, second].forEach((tables) => {
              const table = tables[observation.vm] as blameTable.BlameTable;
              observe(table, String(at), clock.monotonic(), observation);
            });
          }
          exchange(first, s1);
          exchange(second, s2);
          verdictCount += verdictsOf(first[0] as blameTable.BlameTable).filter(Boolean).length;
          const all = [...first, ...second].map(verdictsOf);
          all.forEach((verdicts) => expect(verdicts).toEqual(all[0]));
        },
      ),
      SETTINGS,
    );
    expect(verdictCount).toBeGreaterThan(SETTINGS.numRuns / 4);
  });

  it('say nothing new when the same news arrive again', () => {
    const clock = new virtualClock.VirtualClock();
    const [first, second] = makeTables(clock) as [blameTable.BlameTable, blameTable.BlameTable];
    const at = clock.monotonic();
    const suspects = [{ request: 'a', parts: ['p'], placedAt: at - 5 }];
    first.recordCrash({ id: '1', endpointId: 'e', at, suspects });
    let changes = 0;
    second.onChange(() => {
      changes += 1;
    });
    second.merge(first.news);
    second.merge(first.news);
    first.merge(second.news);
    expect(changes).toBe(1);
    first.recordProof({ request: 'a', parts: ['p'] });
    second.merge(first.news);
    second.merge(first.news);
    expect(changes).toBe(2);
  });

  it('clear what another one suspects and they saw succeed', () => {
    const clock = new virtualClock.VirtualClock();
    const [first, second] = makeTables(clock) as [blameTable.BlameTable, blameTable.BlameTable];
    second.recordProof({ request: 's', parts: ['p'] });
    const at = clock.monotonic();
    const suspects = [{ request: 'a', parts: ['p'], placedAt: at - 5 }];
    first.recordCrash({ id: '1', endpointId: 'e', at, suspects });
    second.merge(first.news);
    first.merge(second.news);
    expect(first.news.proofs.map(({ trait }) => trait)).toEqual(['p']);
  });
});
