import * as vitest from 'vitest';
import * as faultInjector from './testing/FaultInjector.js';
import * as linearizability from './testing/Linearizability.js';
import * as registerStateMachine from './testing/RegisterStateMachine.js';
import * as simulatedClients from './testing/SimulatedClients.js';
import * as simulatedGroup from './testing/SimulatedGroup.js';

const { describe, expect, it } = vitest;

const FAST_SYNC_MS = 4;
const SLOW_SYNC_MS = 60;
const FAULT_COUNT = 50;
const CLIENT_COUNT = 5;
const OPERATIONS_PER_CLIENT = 80;
const KEY_COUNT = 20;
const MIN_ACKNOWLEDGED_WRITES = 40;

/**
 * Runs clients under one seeded sequence of faults, then checks the invariants of the log. Odd seeds use slow disks.
 * Returns the number of acknowledged writes.
 */
async function runScenario(
  seed: number,
  ids: readonly string[],
  withDiskFaults = false,
): Promise<number> {
  const maxSyncMs = seed % 2 === 0 ? FAST_SYNC_MS : SLOW_SYNC_MS;
  const group = new simulatedGroup.SimulatedGroup(seed, ids, maxSyncMs);
  group.waitsForDiskSpace = withDiskFaults;
  await group.startAll();
  const clients = new simulatedClients.SimulatedClients(group, KEY_COUNT);
  clients.start(CLIENT_COUNT, OPERATIONS_PER_CLIENT);
  const injector = new faultInjector.FaultInjector(group, withDiskFaults);
  await injector.run(FAULT_COUNT);
  clients.stop();
  await injector.endFaults();
  await group.writeRetrying('last', 'x');
  await group.converge();
  checkStates(group);
  checkAcknowledged(group, clients);
  clients.histories.forEach((history, key) => {
    expect([key, linearizability.isLinearizable(history)]).toEqual([key, true]);
  });
  group.dispose();
  return clients.acknowledgedCommands.length;
}

/**
 * Checks that each term had one leader, that replicas applied the same commands, and that their final states are
 * equal.
 */
function checkStates(group: simulatedGroup.SimulatedGroup): void {
  expect(group.violations).toEqual([]);
  const expectedState = new registerStateMachine.RegisterStateMachine();
  const indices = [...group.committed.keys()].sort((a, b) => a - b);
  indices.forEach((index) =>
    expectedState.apply(index, Buffer.from(group.committed.get(index) ?? '')),
  );
  expect(group.running.size).toBe(group.foundingIds.length);
  group.running.forEach(({ id, state }) => {
    expect([id, state.entries()]).toEqual([id, expectedState.entries()]);
  });
}

/** Checks that every acknowledged command is committed exactly once. */
function checkAcknowledged(
  group: simulatedGroup.SimulatedGroup,
  clients: simulatedClients.SimulatedClients,
): void {
  const committed = [...group.committed.values()];
  expect(new Set(committed).size).toBe(committed.length);
  const committedSet = new Set(committed);
  expect(clients.acknowledgedCommands.filter((text) => !committedSet.has(text))).toEqual([]);
}

describe('replicated log under seeded faults', () => {
  it.each(Array.from({ length: Number(process.env.ANVILDECK_SEEDS ?? 20) }, (each, at) => at + 1))(
    'upholds all invariants with three replicas, seed %i',
    async (seed) => {
      expect(await runScenario(seed, ['c1', 'c2', 'c3'])).toBeGreaterThan(MIN_ACKNOWLEDGED_WRITES);
    },
  );

  it.each(Array.from({ length: Number(process.env.ANVILDECK_SEEDS ?? 8) }, (each, at) => at + 101))(
    'upholds all invariants with five replicas, seed %i',
    async (seed) => {
      expect(await runScenario(seed, ['c1', 'c2', 'c3', 'c4', 'c5'])).toBeGreaterThan(
        MIN_ACKNOWLEDGED_WRITES,
      );
    },
  );
});

describe('the log on disks that fill up and slow down', () => {
  it.each(
    Array.from({ length: Number(process.env.ANVILDECK_DISK_SEEDS ?? 10) }, (each, at) => at + 201),
  )('upholds all invariants with three replicas, seed %i', async (seed) => {
    expect(await runScenario(seed, ['c1', 'c2', 'c3'], true)).toBeGreaterThan(
      MIN_ACKNOWLEDGED_WRITES,
    );
  });
});

describe('replicated log under fault sequences that once violated an invariant', () => {
  it('keeps acknowledged entries when it receives a snapshot older than its log, seed 133', async () => {
    expect(await runScenario(133, ['c1', 'c2', 'c3'])).toBeGreaterThan(MIN_ACKNOWLEDGED_WRITES);
  });

  it('does not become leader after it is disposed, although votes still arrive, seed 59', async () => {
    expect(await runScenario(59, ['c1', 'c2', 'c3'])).toBeGreaterThan(MIN_ACKNOWLEDGED_WRITES);
  });
});

describe('linearizability check', () => {
  const write = { kind: 'write', start: 0, end: 3, value: 'a', previous: '' } as const;

  it('accepts either value for a read concurrent with a write', () => {
    const read = { kind: 'read', start: 1, end: 2 } as const;
    expect(linearizability.isLinearizable([write, { ...read, value: 'a' }])).toBe(true);
    expect(linearizability.isLinearizable([write, { ...read, value: '' }])).toBe(true);
  });

  it('rejects a stale read, a lost write and a duplicated write', () => {
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
