import * as vitest from 'vitest';
import * as simulatedGroup from '../control/replication/testing/SimulatedGroup.js';
import type * as controlTypes from '../control/Types.js';
import * as manualClock from '../common/testing/ManualClock.js';
import type * as routing from '../routing/Types.js';
import * as feedFleet from './testing/FeedFleet.js';
import * as feedVm from './testing/FeedVm.js';

const { describe, expect, test } = vitest;

/** A link of 100 Mbit/s. */
const LINK_BYTES_PER_MS = 12_500;
/** Timeouts of the control group. */
const TUNING = {
  ...simulatedGroup.TUNING,
  heartbeatMs: 80,
  electionTimeoutMs: 420,
  callTimeoutMs: 500,
};
const ENTRY_VMS = 200;
const ENDPOINTS = 165;
/** Engines that crash at once, and requests in each. */
const CRASHES = 20;
const SUSPECTS = 16;
/** Longest time from the acknowledgement of a configuration until it is in force on all VMs. */
const IN_FORCE_MS = 3000;
const LEADER = {
  status: () => ({
    role: 'leader',
    term: 1,
    members: [],
    id: 'c',
    leaderId: 'c',
    isStateCurrent: true,
  }),
  onLeadership: () => ({ dispose: () => {} }),
} as unknown as controlTypes.IReplicatedLog;

function makeList(revision: number, count = ENDPOINTS): routing.IEndpointList {
  const endpoints = Array.from({ length: count }, (_, index) => ({
    id: `i-${(index + (index < revision ? 1_000_000 : 0)).toString(16).padStart(10, '0')}`,
    service: `service-${index % 5}`,
    address: `10.${index % 6}.64.${index}:8684`,
    availabilityZone: `luzon-${index % 6}`,
    version: '1',
    slots: 16,
    draining: false,
  }));
  return { revision, endpoints };
}

/** A configuration of 50 routes and 19 workspaces, in which `version` changes three places. */
function makeText(version: number): string {
  const routes = Array.from({ length: 50 }, (_, index) => ({
    host: `host-${index}.example`,
    prefix: `/path-${index}/${(index * 7919).toString(36)}/`,
    service: `service-${index % 5}`,
    kind: 'stream',
    timeoutMs: index === version % 50 ? 10_000 + version : 15_000,
    stages: [{ service: 'service-1', after: [], resultBytes: 800_000 + index }],
    name: `a route for requests of the kind ${index}, with the stages that it needs`,
  }));
  const workspaces = Array.from({ length: 19 }, (_, index) => ({
    name: `workspace-${index}`,
    keys: [`key-${index}-${index === version % 19 ? version : 0}`.padEnd(24, 'x')],
  }));
  return JSON.stringify({ version, routes, workspaces });
}

function submit(fleet: feedFleet.FeedFleet, version: number): void {
  fleet.document.restore(Buffer.from(JSON.stringify({ version, text: makeText(version) })));
}

/** A control VM that leads, with entry VMs that hold the first configuration and endpoint list. */
async function startFleet(
  count: number,
  endpoints = ENDPOINTS,
): Promise<{ clock: manualClock.ManualClock; fleet: feedFleet.FeedFleet }> {
  const clock = new manualClock.ManualClock();
  const options = { clock, log: LEADER, linkBytesPerMs: LINK_BYTES_PER_MS };
  const fleet = new feedFleet.FeedFleet(options);
  submit(fleet, 1);
  fleet.directory.replace(makeList(1, endpoints));
  fleet.connectNew(count);
  await clock.advance(2000);
  return { clock, fleet };
}

test('a leader keeps its quorum while changes go to 200 entry VMs over a link of 100 Mbit/s', async () => {
  const ids = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6'];
  const group = new simulatedGroup.SimulatedGroup(1, ids, 4, TUNING);
  const { id, log } = await group.startAll();
  const { clock } = group;
  const { term } = log.status();
  const options = { clock, log, linkBytesPerMs: LINK_BYTES_PER_MS };
  const fleet = new feedFleet.FeedFleet(options);
  group.network.limit(id, fleet.link);
  fleet.directory.replace(makeList(1));
  fleet.connectNew(ENTRY_VMS);
  for (let round = 1; round <= 8; round++) {
    submit(fleet, round);
    fleet.directory.replace(makeList(round + 1));
    await clock.advance(850);
  }
  expect(group.logService.events.filter(({ event }) => event === 'quorum-lost')).toEqual([]);
  expect(group.leader()?.log.status()).toMatchObject({ id, term });
  fleet.dispose();
  group.dispose();
});

describe('the cost of a change', () => {
  test('does not grow with the number of VMs that encode it, nor with the endpoints that stay', async () => {
    const costs = [];
    for (const [count, endpoints] of [
      [12, ENDPOINTS],
      [206, ENDPOINTS],
      [12, 10 * ENDPOINTS],
    ] as const) {
      const { clock, fleet } = await startFleet(count, endpoints);
      const before = fleet.broadcastCost;
      fleet.directory.replace(makeList(2, endpoints));
      submit(fleet, 2);
      await clock.advance(2000);
      const { messages, bytes, encodings } = fleet.broadcastCost;
      const sent = messages - before.messages;
      costs.push({
        sent,
        each: (bytes - before.bytes) / sent,
        encoded: encodings - before.encodings,
      });
      const list = JSON.stringify(makeList(2, endpoints).endpoints);
      expect(fleet.vms.every((vm) => vm.endpoints === list && vm.version === 2)).toBe(true);
      fleet.dispose();
    }
    const [few, many, long] = costs;
    expect(few?.sent).toBe(24);
    expect(many).toEqual({ ...few, sent: 412 });
    expect(long?.each).toBeLessThan((few?.each ?? 0) + 50);
  });

  test('is a few bytes when a VM that holds the list connects to a new control VM', async () => {
    const first = await startFleet(1);
    const second = await startFleet(0);
    const vm = first.fleet.vms[0] as feedVm.FeedVm;
    second.fleet.connect(vm);
    await second.clock.advance(500);
    expect(second.fleet.broadcastCost.bytes).toBeLessThan(500);
    second.fleet.directory.replace(makeList(2));
    await second.clock.advance(500);
    expect(vm.endpoints).toBe(JSON.stringify(makeList(2).endpoints));
    first.fleet.dispose();
    second.fleet.dispose();
  });
});

test('a new coordinator without a list does not ask all VMs for theirs, and passes one on', async () => {
  const first = await startFleet(ENTRY_VMS);
  const { clock } = first;
  const options = { clock, log: LEADER, linkBytesPerMs: LINK_BYTES_PER_MS };
  const second = new feedFleet.FeedFleet(options);
  second.connectNew(ENTRY_VMS);
  first.fleet.vms.forEach((vm) => second.connect(vm));
  await clock.advance(1000);
  const asked = first.fleet.vms.filter(({ sentLists }) => sentLists > 0);
  expect(asked.length).toBeGreaterThan(0);
  expect(asked.length).toBeLessThanOrEqual(4);
  expect(second.directory.current.endpoints).toHaveLength(ENDPOINTS);
  const list = JSON.stringify(makeList(1).endpoints);
  expect(second.vms.every(({ endpoints }) => endpoints === list)).toBe(true);
  first.fleet.dispose();
  second.dispose();
});

test('a new coordinator asks other VMs when those that it asked do not answer', async () => {
  const first = await startFleet(9);
  const { clock } = first;
  const options = { clock, log: LEADER, linkBytesPerMs: LINK_BYTES_PER_MS };
  const second = new feedFleet.FeedFleet(options);
  first.fleet.vms.forEach((vm, index) => {
    second.connect(vm);
    if (index < 8) {
      Object.assign(vm, { endpoints: '' });
    }
  });
  await clock.advance(2000);
  expect(second.directory.current.endpoints).toHaveLength(ENDPOINTS);
  first.fleet.dispose();
  second.dispose();
});

test('a VM that cannot apply an update gets the whole list', async () => {
  const { clock, fleet } = await startFleet(2);
  fleet.vms[0]?.spoilEndpoints();
  fleet.directory.replace(makeList(2));
  await clock.advance(500);
  const list = JSON.stringify(makeList(2).endpoints);
  expect(fleet.vms.map(({ endpoints }) => endpoints)).toEqual([list, list]);
  fleet.dispose();
});

test('a VM of an earlier build gets whole messages beside VMs that get updates', async () => {
  const { clock, fleet } = await startFleet(2);
  const vm = new feedVm.FeedVm('earlier', true);
  fleet.connect(vm);
  submit(fleet, 2);
  fleet.directory.replace(makeList(2));
  await clock.advance(1000);
  expect(vm.received.get('update')).toBeUndefined();
  expect(vm.version).toBe(2);
  expect(vm.endpoints).toBe(JSON.stringify(makeList(2).endpoints));
  expect(fleet.vms[0]?.received.get('document')).toBeUndefined();
  fleet.dispose();
});

test('a configuration is in force on 200 new VMs in time, whole texts and all, and none goes back', async () => {
  const clock = new manualClock.ManualClock();
  const options = { clock, log: LEADER, linkBytesPerMs: LINK_BYTES_PER_MS };
  const fleet = new feedFleet.FeedFleet(options);
  fleet.directory.replace(makeList(1));
  submit(fleet, 1);
  fleet.connectNew(ENTRY_VMS);
  let longestDelay = 0;
  let newest = 1;
  const versions = new Map<feedVm.FeedVm, number>();
  for (let elapsed = 0; elapsed < IN_FORCE_MS; elapsed += 50) {
    if (elapsed % 250 === 0 && elapsed < 1000) {
      newest += 1;
      submit(fleet, newest);
    }
    await clock.advance(50);
    longestDelay = Math.max(longestDelay, fleet.link.delay);
    fleet.vms.forEach((vm) => {
      expect(vm.version).toBeGreaterThanOrEqual(versions.get(vm) ?? 0);
      versions.set(vm, vm.version);
    });
  }
  expect(fleet.vms.every(({ version }) => version === newest)).toBe(true);
  expect(longestDelay).toBeLessThan(TUNING.heartbeatMs);
  fleet.dispose();
});

test('configurations reach 200 new VMs before the endpoint lists of all of them', async () => {
  const { clock, fleet } = await startFleet(0);
  fleet.connectNew(ENTRY_VMS);
  while (fleet.vms.some(({ version }) => version === 0)) {
    await clock.advance(5);
  }
  const withList = fleet.vms.filter(({ endpoints }) => endpoints !== '');
  expect(withList.length).toBeLessThan(0.25 * ENTRY_VMS);
  await clock.advance(IN_FORCE_MS);
  expect(fleet.vms.every(({ endpoints }) => endpoints !== '')).toBe(true);
  fleet.dispose();
});

test('news of many crashes at once do not hold up heartbeats on the link, and reach all VMs', async () => {
  const { clock, fleet } = await startFleet(ENTRY_VMS);
  const id = (number: number): string => (number * 2_654_435_761).toString(16).padStart(16, '0');
  let longestDelay = 0;
  for (let crash = 0; crash < CRASHES; crash++) {
    const now = clock.monotonic();
    const suspects = Array.from({ length: SUSPECTS }, (_, index) => {
      const number = crash * SUSPECTS + index + 1;
      const parts = [id(number * 3), id(number * 5), id(number * 7)];
      return { request: id(number), parts, placedAt: now - 500 - index };
    });
    fleet.crashes.recordCrash({
      id: `crash-${crash}`,
      endpointId: `i-${crash}`,
      at: now - 20,
      suspects,
    });
    longestDelay = Math.max(longestDelay, fleet.link.delay);
  }
  for (let elapsed = 0; elapsed < IN_FORCE_MS; elapsed += 20) {
    await clock.advance(20);
    longestDelay = Math.max(longestDelay, fleet.link.delay);
  }
  expect(longestDelay).toBeLessThan(TUNING.heartbeatMs);
  expect(fleet.vms.map(({ received }) => received.get('blame'))).toEqual(
    Array(ENTRY_VMS).fill(CRASHES),
  );
  fleet.dispose();
});
