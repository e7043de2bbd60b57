import * as vitest from 'vitest';
import * as simulatedGroup from '../control/replication/testing/SimulatedGroup.js';
import * as coordinators from './Coordinator.js';
import * as feedFleet from './testing/FeedFleet.js';
import * as feedVm from './testing/FeedVm.js';
import type * as types from './Types.js';

const { afterEach, expect, test } = vitest;

/** A link of 100 Mbit/s. */
const LINK_BYTES_PER_MS = 12_500;
const TUNING = {
  ...simulatedGroup.TUNING,
  heartbeatMs: 80,
  electionTimeoutMs: 420,
  callTimeoutMs: 500,
};
const ENTRY_VMS = 200;
/** Requests of each VM that wait for a coordinator. */
const WAITING_PLANS = 4;
/** Processor time of a coordinator for one plan. */
const PLAN_COST_MS = 2;
const PLAN: Partial<types.IPlanRequest> = {
  priority: 1,
  pieces: [1, 1],
  goalLeft: 2000,
  deadlineLeft: 6000,
  held: [],
};

/** A leader to which all entry VMs are connected, and which plans at a cost. */
async function startFleet() {
  const ids = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6'];
  const group = new simulatedGroup.SimulatedGroup(1, ids, 4, TUNING);
  const { clock } = group;
  vitest.vi.spyOn(coordinators.Coordinator.prototype, 'plan').mockImplementation(async () => {
    clock.spend(PLAN_COST_MS);
    return { kind: 'refused', reason: 'overloaded', retryAfter: 100 };
  });
  const { log } = await group.startAll();
  const fleet = new feedFleet.FeedFleet({ clock, log, linkBytesPerMs: LINK_BYTES_PER_MS });
  fleet.directory.replace({ revision: 1, endpoints: [] });
  fleet.document.restore(Buffer.from(JSON.stringify({ version: 1, text: '{}' })));
  fleet.connectNew(ENTRY_VMS);
  await clock.advance(1000);
  return { group, fleet };
}

function sendWaitingPlans({ vms }: feedFleet.FeedFleet): void {
  vms.forEach((vm) => {
    for (let index = 0; index < WAITING_PLANS; index++) {
      const plan = { ...PLAN, planId: `${vm.name}#${index}` } as types.IPlanRequest;
      vm.send({ kind: 'plan', plan });
    }
  });
}

afterEach(() => vitest.vi.restoreAllMocks());

test('a leader that 200 entry VMs find at once keeps its quorum while it plans what waits at them', async () => {
  const { group, fleet } = await startFleet();
  const { clock } = group;
  const loopDelays: number[] = [];
  const check = (dueAt: number): void => {
    loopDelays.push(clock.monotonic() - dueAt);
    clock.setTimer(10, () => check(clock.monotonic() + 10));
  };
  clock.setTimer(0, () => check(clock.monotonic()));
  sendWaitingPlans(fleet);
  await clock.advance(3000);
  const losses = group.logService.events.filter(({ event }) => event.startsWith('quorum-'));
  expect(losses).toEqual([]);
  expect(Math.max(...loopDelays)).toBeLessThan(TUNING.heartbeatMs);
  const answers = fleet.vms.map(({ received }) => received.get('planned'));
  expect(answers).toEqual(Array(ENTRY_VMS).fill(WAITING_PLANS));
  fleet.dispose();
  group.dispose();
});

test('an entry VM that connects meanwhile gets its configuration before the plans of all others', async () => {
  const { group, fleet } = await startFleet();
  sendWaitingPlans(fleet);
  const vm = new feedVm.FeedVm('late');
  fleet.connect(vm);
  await group.clock.advance(100);
  expect(vm.version).toBe(1);
  const answered = fleet.vms.map(({ received }) => received.get('planned') ?? 0);
  expect(answered.reduce((a, b) => a + b)).toBeLessThan(0.25 * ENTRY_VMS * WAITING_PLANS);
  fleet.dispose();
  group.dispose();
});

test('plans that wait for an entry VM whose connection has ended are not made', async () => {
  const { group, fleet } = await startFleet();
  const plan = vitest.vi.mocked(coordinators.Coordinator.prototype.plan);
  sendWaitingPlans(fleet);
  fleet.vms.forEach((vm) => vm.disconnect());
  await group.clock.advance(3000);
  expect(plan.mock.calls.length).toBeLessThan(0.25 * ENTRY_VMS * WAITING_PLANS);
  fleet.dispose();
  group.dispose();
});
