import * as vitest from 'vitest';
import * as simulatedClients from './testing/SimulatedClients.js';
import * as linearizability from './testing/Linearizability.js';
import * as faultInjector from './testing/FaultInjector.js';
import * as registerStateMachine from './testing/RegisterStateMachine.js';
import * as simulatedGroup from './testing/SimulatedGroup.js';

const { describe, expect, it } = vitest;

const FAST_SYNC_MS = 4;
const SLOW_SYNC_MS = 60;
const FAULTS = 50;
const CLIENTS = 5;
const OPERATIONS = 80;
const KEYS = 20;
const MIN_ACKNOWLEDGED = 40;

/** Runs one seeded course of faults and checks every invariant of the log. */
async function run(seed: number, ids: readonly string[], withDisks = false): Promise<number> {
  const maxSyncMs = seed % 2 === 0 ? FAST_SYNC_MS : SLOW_SYNC_MS;
  const group = new simulatedGroup.SimulatedGroup(seed, ids, maxSyncMs);
  group.waitsForDiskSpace = withDisks;
  await group.startAll();
  const users = new simulatedClients.SimulatedClients(group, KEYS);
  users.start(CLIENTS, OPERATIONS);
  const faults = new faultInjector.FaultInjector(group, withDisks);
  await faults.run(FAULTS);
  users.stop();
  await faults.endFaults();
  await group.writeRetrying('last', 'x');
  await group.converge();
  checkStates(group);
  checkAcknowledged(group, users);
  users.histories.forEach((history, key) => {
    expect([key, linearizability.isLinearizable(history)]).toEqual([key, true]);
  });
  group.dispose();
  return users.acknowledgedCommands.length;
}

/** One leader a term, the same command at an index everywhere, and the same state in the end. */
function checkStates(group: simulatedGroup.SimulatedGroup): void {
  expect(group.violations).toEqual([]);
  const naive = new registerStateMachine.RegisterStateMachine();
  const indices = [...group.committed.keys()].sort((a, b) => a - b);
  indices.forEach((index) => naive.apply(index, Buffer.from(group.committed.get(index) ?? '')));
  expect(group.running.size).toBe(group.foundingIds.length);
  group.running.forEach(({ id, state }) => {
    expect([id, state.entries()]).toEqual([id, naive.entries()]);
  });
}

/** Every acknowledged command is committed, once. */
function checkAcknowledged(
  group: simulatedGroup.SimulatedGroup,
  users: simulatedClients.SimulatedClients,
): void {
  const committed = [...group.committed.values()];
  expect(new Set(committed).size).toBe(committed.length);
  const held = new Set(committed);
  expect(users.acknowledgedCommands.filter((text) => !held.has(text))).toEqual([]);
}

describe('the log under seeded faults', () => {
  it.each(Array.from({ length: Number(process.env.ANVILDECK_SEEDS ?? 20) }, (each, at) => at + 1))(
    'keeps its promises with three replicas, seed %i',
    async (seed) => {
      expect(await run(seed, ['c1', 'c2', 'c3'])).toBeGreaterThan(MIN_ACKNOWLEDGED);
    },
  );

  it.each(Array.from({ length: Number(process.env.ANVILDECK_SEEDS ?? 8) }, (each, at) => at + 101))(
    'keeps its promises with five replicas, seed %i',
    async (seed) => {
      expect(await run(seed, ['c1', 'c2', 'c3', 'c4', 'c5'])).toBeGreaterThan(MIN_ACKNOWLEDGED);
    },
  );
});

describe('the log on disks that fill up and slow down', () => {
  it.each(
    Array.from({ length: Number(process.env.ANVILDECK_DISK_SEEDS ?? 10) }, (each, at) => at + 201),
  )('keeps its promises with three replicas, seed %i', async (seed) => {
    expect(await run(seed, ['c1', 'c2', 'c3'], true)).toBeGreaterThan(MIN_ACKNOWLEDGED);
  });
});

describe('courses of faults that broke a promise once', () => {
  it('keeps what it acknowledged when a snapshot behind its own log arrives, seed 133', async () => {
    expect(await run(133, ['c1', 'c2', 'c3'])).toBeGreaterThan(MIN_ACKNOWLEDGED);
  });

  it('does not lead once closed, though votes still arrive, seed 59', async () => {
    expect(await run(59, ['c1', 'c2', 'c3'])).toBeGreaterThan(MIN_ACKNOWLEDGED);
  });
});

describe('the check of histories', () => {
  const write = { kind: 'write', start: 0, end: 3, value: 'a', previous: '' } as const;

  it('takes a read beside a write both ways', () => {
    const read = { kind: 'read', start: 1, end: 2 } as const;
    expect(linearizability.isLinearizable([write, { ...read, value: 'a' }])).toBe(true);
    expect(linearizability.isLinearizable([write, { ...read, value: '' }])).toBe(true);
  });

  it('finds a stale read, a lost write and a write done twice', () => {
    const stale = { kind: 'read', start: 4, end: 5, value: '' } as const;
    expect(linearizability.isLinearizable([write, stale])).toBe(false);
    const next = { kind: 'write', start: 4, end: 5, value: 'b' } as const;
    expect(linearizability.isLinearizable([write, { ...next, previous: '' }])).toBe(false);
    const unknown = { kind: 'write', start: 4, end: Infinity, value: 'b' } as const;
    const reads = ['b', 'a'].map(
      (value, at) => ({ kind: 'read', start: 6 + 2 * at, end: 7 + 2 * at, value }) as const,
    );
    expect(linearizability.isLinearizable([write, unknown, ...reads])).toBe(false);
  });
});
