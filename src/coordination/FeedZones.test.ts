import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import type * as controlTypes from '../control/Types.js';
import * as feedFleet from './testing/FeedFleet.js';
import * as feedVm from './testing/FeedVm.js';

const { beforeEach, describe, expect, test } = vitest;
const LINK_BYTES_PER_MS = 12_500;

describe('the feed of zones out of service', () => {
  let clock: manualClock.ManualClock;
  let status: Record<string, unknown>;
  let fleet: feedFleet.FeedFleet;

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    status = {
      role: 'leader',
      term: 1,
      members: [],
      id: 'c',
      leaderId: 'c',
      isStateCurrent: true,
    };
    const log = {
      status: () => status,
      onLeadership: () => ({ dispose: () => {} }),
    } as unknown as controlTypes.IReplicatedLog;
    fleet = new feedFleet.FeedFleet({ clock, log, linkBytesPerMs: LINK_BYTES_PER_MS });
    fleet.directory.replace({ revision: 1, endpoints: [] });
  });

  async function connect(name: string): Promise<feedVm.FeedVm> {
    const vm = new feedVm.FeedVm(name);
    fleet.connect(vm);
    await clock.advance(100);
    return vm;
  }

  function submitDocument(): void {
    fleet.document.restore(Buffer.from(JSON.stringify({ version: 1, text: '{}' })));
  }

  test('sends each change to all VMs at once, and nothing while no zone was ever closed', async () => {
    const vms = [await connect('v1'), await connect('v2')];
    await clock.advance(1000);
    vms.forEach((vm) => expect(vm.received.has('zones')).toBe(false));
    fleet.zones.apply({ zone: 'a', isClosed: true });
    await clock.advance(5);
    vms.forEach((vm) => expect(vm.closedZones).toEqual({ revision: 1, zones: ['a'] }));
    fleet.zones.apply({ zone: 'a', isClosed: false });
    await clock.advance(5);
    vms.forEach((vm) => expect(vm.closedZones).toEqual({ revision: 2, zones: [] }));
    await clock.advance(2000);
    vms.forEach((vm) => expect(vm.received.get('zones')).toBe(2));
    fleet.dispose();
  });

  test('sends them to a VM that connects, before the configuration by which it serves', async () => {
    submitDocument();
    fleet.zones.apply({ zone: 'a', isClosed: true });
    const vm = await connect('v1');
    expect(vm.version).toBe(1);
    expect([...vm.received.keys()].find((kind) => kind !== 'state')).toBe('zones');
    fleet.dispose();
  });

  test('followers send theirs, too', async () => {
    status = { ...status, role: 'follower', leaderId: 'other', isStateCurrent: false };
    const vm = await connect('v1');
    fleet.zones.apply({ zone: 'a', isClosed: true });
    await clock.advance(5);
    expect(vm.closedZones).toEqual({ revision: 1, zones: ['a'] });
    fleet.dispose();
  });

  test('closing a zone does not send the endpoint list again', async () => {
    const vm = await connect('v1');
    const before = vm.received.get('update');
    fleet.directory.closeZones({ revision: 1, zones: ['a'] });
    await clock.advance(1000);
    expect(vm.received.get('update')).toBe(before);
    fleet.dispose();
  });
});
