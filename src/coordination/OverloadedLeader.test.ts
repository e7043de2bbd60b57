import * as vitest from 'vitest';
import * as simulatedGroup from '../control/replication/testing/SimulatedGroup.js';
import * as coordinators from './Coordinator.js';
import * as feedFleet from './testing/FeedFleet.js';
import type * as feedVm from './testing/FeedVm.js';
import type * as types from './Types.js';

const { afterEach, expect, test } = vitest;

/** A link of 100 Mbit/s. */
const LINK_BYTES_PER_MS = 12_500;
const ENTRY_VMS = 50;
/** Processor time of a coordinator for one plan. */
const PLAN_COST_MS = 4;
const GOAL_MS = 2000;
const DEADLINE_MS = 6000;
const LOAD_MS = 3000;
const SERVED = { kind: 'refused', reason: 'stage-failed', retryAfter: 100 } as const;

function planOf(planId: string): types.IPlanRequest {
  return {
    planId,
    requestId: planId,
    service: 's',
    stages: [],
    pieces: [],
    pieceKey: '',
    priority: 1,
    goalLeft: GOAL_MS,
    deadlineLeft: DEADLINE_MS,
    prompt: { parts: [], tokensIn: 1, tokensOut: 1 },
    avoid: [],
    held: [],
  };
}

async function startFleet() {
  const group = new simulatedGroup.SimulatedGroup(1, ['c1', 'c2', 'c3'], 4);
  const { clock } = group;
  const plan = vitest.vi
    .spyOn(coordinators.Coordinator.prototype, 'plan')
    .mockImplementation(async () => {
      clock.spend(PLAN_COST_MS);
      return SERVED;
    });
  const { log } = await group.startAll();
  const fleet = new feedFleet.FeedFleet({ clock, log, linkBytesPerMs: LINK_BYTES_PER_MS });
  fleet.directory.replace({ revision: 1, endpoints: [] });
  fleet.connectNew(ENTRY_VMS);
  await clock.advance(1000);
  return { clock, plan, fleet };
}

afterEach(() => vitest.vi.restoreAllMocks());

test('a leader with more plans than processor time answers each within an eighth of its goal', async () => {
  const { clock, plan, fleet } = await startFleet();
  const delays: number[] = [];
  const sentAt = new Map<string, number>();
  fleet.vms.forEach((vm) => {
    Object.assign(vm, {
      onPlanned: (planId: string) => delays.push(clock.monotonic() - (sentAt.get(planId) ?? 0)),
    });
  });
  const count = (1.6 * LOAD_MS) / PLAN_COST_MS;
  for (let index = 0; index < count; index++) {
    clock.setTimer((index * LOAD_MS) / count, () => {
      sentAt.set(`p${index}`, clock.monotonic());
      fleet.vms[index % ENTRY_VMS]?.send({ kind: 'plan', plan: planOf(`p${index}`) });
    });
  }
  await clock.advance(LOAD_MS + DEADLINE_MS);
  expect(delays).toHaveLength(count);
  expect(Math.max(...delays)).toBeLessThanOrEqual(GOAL_MS / 8);
  expect(plan.mock.calls.length).toBeGreaterThan((0.8 * LOAD_MS) / PLAN_COST_MS);
  fleet.dispose();
});

test('the time for which a plan waited is taken off its goal and its deadline', async () => {
  const { clock, plan, fleet } = await startFleet();
  const [vm] = fleet.vms as [feedVm.FeedVm];
  const sentAt = new Map<string, number>();
  const waits: number[] = [];
  plan.mockImplementation(async ({ planId }) => {
    waits.push(clock.monotonic() - (sentAt.get(planId) ?? 0));
    clock.spend(PLAN_COST_MS);
    return SERVED;
  });
  for (let index = 0; index < 10; index++) {
    sentAt.set(`p${index}`, clock.monotonic());
    vm.send({ kind: 'plan', plan: planOf(`p${index}`) });
  }
  await clock.advance(1000);
  const planned = plan.mock.calls.map(([{ goalLeft, deadlineLeft }]) => ({
    goalLeft,
    deadlineLeft,
  }));
  expect(Math.max(...waits)).toBeGreaterThan(PLAN_COST_MS);
  expect(planned).toEqual(
    waits.map((wait) => ({ goalLeft: GOAL_MS - wait, deadlineLeft: DEADLINE_MS - wait })),
  );
  fleet.dispose();
});

test('the end of a request is not held up by plans that wait', async () => {
  const { clock, plan, fleet } = await startFleet();
  const [vm] = fleet.vms as [feedVm.FeedVm];
  const markEnded = vitest.vi.spyOn(coordinators.Coordinator.prototype, 'markEnded');
  for (let index = 0; index < 10; index++) {
    vm.send({ kind: 'plan', plan: planOf(`p${index}`) });
  }
  vm.send({ kind: 'ended', planId: 'earlier' });
  await clock.advance(1000);
  expect(plan).toHaveBeenCalledTimes(10);
  const [endedAt] = markEnded.mock.invocationCallOrder as [number];
  expect(endedAt).toBeLessThan(plan.mock.invocationCallOrder.at(-1) as number);
  fleet.dispose();
});
