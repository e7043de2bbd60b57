import * as vitest from 'vitest';
import * as virtualClock from '../common/testing/VirtualClock.js';
import type * as rateLimits from '../ratelimit/Types.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as endpointRooms from './EndpointRooms.js';
import * as testRooms from './testing/Rooms.js';

const { beforeEach, describe, expect, test } = vitest;
const NEED: endpointRooms.IRoomNeed = {
  service: 's',
  excluded: [],
  maxWait: 200,
  timeLeft: 1000,
  priority: 0,
};

/** Allows a number of calls. */
class CountingLimiter implements rateLimits.IEndpointRateLimiter {
  left = 0;

  rateOf(): undefined {
    return undefined;
  }

  delayOf(): number {
    return this.left > 0 ? 0 : 1000;
  }

  take(): boolean {
    this.left -= 1;
    return this.left >= 0;
  }
}

describe('EndpointRooms', () => {
  let clock: virtualClock.VirtualClock;
  let local: CountingLimiter;
  let vm: testRooms.ITestRooms;

  function answerLast(answer: { readonly endpointId: string } | { readonly delay: number }): void {
    const { roomId } = vm.link.requests.at(-1) ?? { roomId: '' };
    vm.link.room.fire({ roomId, ...answer });
  }

  beforeEach(() => {
    clock = new virtualClock.VirtualClock();
    const directory = new endpointDirectory.EndpointDirectory();
    const endpoint = { service: 's', address: '127.0.0.1:1', availabilityZone: 'a', slots: 4 };
    directory.replace({
      revision: 1,
      endpoints: ['e1', 'e2'].map((id) => ({ ...endpoint, id, draining: false })),
    });
    local = new CountingLimiter();
    vm = testRooms.makeRooms(clock, directory, local);
  });

  test('takes a service for brittle while one of its endpoints names a limit', async () => {
    expect(vm.rooms.isBrittle('s')).toBe(false);
    testRooms.nameLimit(vm.limits, clock, 2, 'e1');
    expect(vm.rooms.isBrittle('s')).toBe(true);
    await clock.advance(10);
    testRooms.nameLimit(vm.limits, clock, 'none', 'e1');
    expect(vm.rooms.isBrittle('s')).toBe(false);
  });

  test('tells the coordinator of limits that responses to this VM name, and takes over those of others', () => {
    testRooms.nameLimit(vm.limits, clock, 2, 'e1');
    expect(vm.link.sentLimits).toMatchObject([{ endpointId: 'e1', limit: 2 }]);
    vm.link.rejectionLimits.fire([{ endpointId: 'e2', limit: 5, sentAge: 1, receivedAge: 0 }]);
    expect(vm.limits.limitOf('e2')).toBe(5);
  });

  test('opens the room that the coordinator grants, and gives it back once', async () => {
    const pending = vm.rooms.acquire(NEED);
    answerLast({ endpointId: 'e2' });
    const room = await pending;
    expect(room).toMatchObject({ endpoint: { id: 'e2' } });
    if ('endpoint' in room) {
      room.release('served');
      room.release('lost');
    }
    expect(vm.link.released).toMatchObject([{ outcome: 'served' }]);
  });

  test('passes on the time of a refusal', async () => {
    const pending = vm.rooms.acquire(NEED);
    answerLast({ delay: 340 });
    expect(await pending).toEqual({ retryAfter: 340 });
  });

  test('gives back room that is granted after the wait', async () => {
    const pending = vm.rooms.acquire(NEED);
    await clock.advance(300);
    expect(await pending).toMatchObject({ retryAfter: expect.any(Number) });
    const before = vm.link.released.length;
    answerLast({ endpointId: 'e1' });
    expect(vm.link.released.length).toBe(before + 1);
  });

  test('does not wait for a coordinator that is lost', async () => {
    local.left = 1;
    const pending = vm.rooms.acquire(NEED);
    vm.link.isConnected = false;
    vm.link.coordinatorLost.fire();
    expect(await pending).toMatchObject({ endpoint: { id: 'e1' } });
  });

  test('sends only what could all be rejected while there is no coordinator', async () => {
    vm.link.isConnected = false;
    local.left = 1;
    expect(await vm.rooms.acquire(NEED)).toMatchObject({ endpoint: { id: 'e1' } });
    expect(await vm.rooms.acquire(NEED)).toMatchObject({ retryAfter: expect.any(Number) });
  });

  test('tells a new coordinator the room in use and the requests at engines, and their ends', async () => {
    const pending = vm.rooms.acquire(NEED);
    answerLast({ endpointId: 'e2' });
    const room = await pending;
    const placed = vm.rooms.recordPlaced('plan#1', 'e1');
    const unreported = vm.rooms.recordPlaced('plan#2', 'e1');
    unreported.dispose();
    expect(vm.link.released).toEqual([]);
    vm.link.coordinatorFound.fire();
    expect(vm.link.sentRooms.at(-1)?.map(({ endpointId }) => endpointId)).toEqual(['e2', 'e1']);
    placed.dispose();
    if ('endpoint' in room) {
      room.release('served');
    }
    expect(vm.link.released.length).toBe(2);
  });
});
