import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import type * as roomKeeper from './RoomKeeper.js';
import * as testRooms from './testing/Rooms.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, test } = vitest;
const SLOTS = 4;
/** Longer than a new coordinator waits before it grants room. */
const START_MS = 600;
const MAX_WAIT_MS = 200;
/** More seeds by hand with ANVILDECK_ROOM_SEEDS=400. */
const SEEDS = Number(process.env.ANVILDECK_ROOM_SEEDS ?? 20);

function endpoint(id: string, zone = 'a'): routing.IEndpoint {
  return {
    id,
    service: 's',
    address: '127.0.0.1:1',
    availabilityZone: zone,
    slots: SLOTS,
    draining: false,
  };
}

describe('RoomKeeper', () => {
  let clock: virtualClock.VirtualClock;
  let directory: endpointDirectory.EndpointDirectory;
  let limits: rateLimitTable.RateLimitTable;
  let keeper: roomKeeper.RoomKeeper;
  let answers: Map<string, types.RoomAnswer>;

  function ask(roomId: string, change: Partial<types.IRoomRequest> = {}, owner = 'vm'): void {
    const request = {
      roomId,
      service: 's',
      excluded: [],
      maxWait: MAX_WAIT_MS,
      maxUse: 5000,
      priority: 0,
      availabilityZone: 'a',
      ...change,
    };
    keeper.request(owner, request, (answer) => {
      expect(answers.has(roomId), `second answer to ${roomId}`).toBe(false);
      answers.set(roomId, answer);
    });
  }

  function grantedAt(roomId: string): string | undefined {
    const answer = answers.get(roomId);
    return answer !== undefined && 'endpointId' in answer ? answer.endpointId : undefined;
  }

  function isRefused(roomId: string): boolean {
    const answer = answers.get(roomId);
    return answer !== undefined && 'delay' in answer;
  }

  function fill(): void {
    for (let at = 0; at < 2 * SLOTS; at++) {
      ask(`fill-${at}`);
    }
  }

  beforeEach(() => {
    clock = new virtualClock.VirtualClock();
    directory = new endpointDirectory.EndpointDirectory();
    directory.replace({ revision: 1, endpoints: [endpoint('e1'), endpoint('e2', 'b')] });
    limits = testRooms.makeLimits(clock);
    testRooms.nameLimit(limits, clock, 2, 'e1', 'e2');
    keeper = testRooms.makeKeeper(clock, directory, limits);
    answers = new Map();
  });

  test('grants as many requests as the endpoints run at the same time, spread evenly', () => {
    fill();
    expect(keeper.usedAt('e1')).toBe(SLOTS);
    expect(keeper.usedAt('e2')).toBe(SLOTS);
  });

  test('prefers the zone of the VM where both have as much room', () => {
    ask('r', { availabilityZone: 'b' });
    expect(grantedAt('r')).toBe('e2');
  });

  test('never chooses an excluded endpoint', () => {
    ask('r', { excluded: ['e1'] });
    ask('none', { excluded: ['e1', 'e2'] });
    expect(grantedAt('r')).toBe('e2');
    expect(isRefused('none')).toBe(true);
  });

  test('lets a request wait for room, the most urgent one first', () => {
    fill();
    ask('patient', { priority: 3 });
    ask('urgent', { priority: 0 });
    keeper.release('fill-0', 'served');
    expect(grantedAt('urgent')).toBeDefined();
    expect(grantedAt('patient')).toBeUndefined();
    keeper.release('fill-1', 'served');
    expect(grantedAt('patient')).toBeDefined();
  });

  test('refuses at once what will have no room in time, and tells when to come back', () => {
    fill();
    ask('now', { maxWait: 0 });
    expect(answers.get('now')).toMatchObject({ delay: expect.any(Number) });
  });

  test('refuses a request that has waited in vain', async () => {
    fill();
    ask('r');
    await clock.advance(MAX_WAIT_MS + 1);
    expect(isRefused('r')).toBe(true);
    keeper.release('fill-0', 'served');
    expect(keeper.usedAt('e1') + keeper.usedAt('e2')).toBe(2 * SLOTS - 1);
  });

  test('sends nothing for a while to an endpoint that rejected a request', async () => {
    ask('r');
    const rejecting = grantedAt('r') as string;
    keeper.release('r', 'rejected');
    for (let at = 0; at < SLOTS; at++) {
      ask(`other-${at}`);
      expect(grantedAt(`other-${at}`)).not.toBe(rejecting);
    }
    await clock.advance(1001);
    ask('later');
    expect(grantedAt('later')).toBe(rejecting);
  });

  test('sends nothing for longer and longer to an endpoint that loses requests', async () => {
    const single = [endpoint('e1')];
    directory.replace({ revision: 2, endpoints: single });
    ask('first');
    keeper.release('first', 'lost');
    ask('early', { maxWait: 0 });
    expect(isRefused('early')).toBe(true);
    await clock.advance(501);
    ask('second');
    expect(grantedAt('second')).toBe('e1');
    keeper.release('second', 'lost');
    await clock.advance(501);
    ask('still early', { maxWait: 0 });
    expect(isRefused('still early')).toBe(true);
  });

  test('grants room to a waiting request as soon as the first of several pauses ends', async () => {
    for (let at = 0; at < SLOTS; at++) {
      ask(`full-${at}`, { excluded: ['e2'] });
    }
    ask('lost', { excluded: ['e1'] });
    keeper.release('lost', 'lost');
    ask('waiting', { maxWait: 900 });
    keeper.release('full-0', 'rejected');
    await clock.advance(510);
    expect(grantedAt('waiting')).toBe('e2');
  });

  test('grants nothing at first as a new coordinator, and counts what VMs had room for before', async () => {
    keeper.reset();
    ask('early', { maxWait: 0 });
    expect(isRefused('early')).toBe(true);
    const rooms = Array.from({ length: SLOTS }, (_, at) => ({
      roomId: `old-${at}`,
      endpointId: 'e1',
    }));
    keeper.adopt('vm', rooms);
    keeper.adopt('vm', rooms);
    await clock.advance(START_MS);
    fill();
    expect(keeper.usedAt('e1')).toBe(SLOTS);
    expect(keeper.usedAt('e2')).toBe(SLOTS);
    keeper.release('old-0', 'served');
    expect(grantedAt(`fill-${SLOTS}`)).toBe('e1');
  });

  test('keeps the room of a VM that has gone for a while, and that of one that is back', async () => {
    ask('gone', {}, 'vm-1');
    ask('back', {}, 'vm-2');
    keeper.disconnect('vm-1');
    keeper.disconnect('vm-2');
    keeper.adopt('vm-2', [{ roomId: 'back', endpointId: grantedAt('back') as string }]);
    expect(keeper.usedAt('e1') + keeper.usedAt('e2')).toBe(2);
    await clock.advance(1001);
    expect(keeper.usedAt('e1') + keeper.usedAt('e2')).toBe(1);
  });

  test('frees the room of a request whose end is never reported', async () => {
    ask('r', { maxUse: 300 });
    await clock.advance(301);
    expect(keeper.usedAt('e1') + keeper.usedAt('e2')).toBe(0);
  });

  test('gives room back a little later if the endpoint may not know that the request has gone', async () => {
    ask('r');
    keeper.release('r', 'cancelled');
    expect(keeper.usedAt('e1')).toBe(1);
    await clock.advance(101);
    expect(keeper.usedAt('e1')).toBe(0);
  });

  test('a request that is withdrawn while it waits gets no room', () => {
    fill();
    ask('r');
    keeper.release('r', 'cancelled');
    keeper.release('fill-0', 'served');
    expect(answers.has('r')).toBe(false);
  });

  test('bounds the requests of a service by its room once one of its endpoints names a limit', () => {
    const other = { ...endpoint('o'), service: 'other' };
    directory.replace({ revision: 2, endpoints: [endpoint('e1'), endpoint('new'), other] });
    expect(keeper.hasRoom(endpoint('new'), SLOTS - 1)).toBe(true);
    expect(keeper.hasRoom(endpoint('new'), SLOTS)).toBe(false);
    expect(keeper.hasRoom(other, 10 * SLOTS)).toBe(true);
  });

  test.each(Array.from({ length: SEEDS }, (_, at) => at + 1))(
    'holds the room of its endpoints whatever happens, seed %i',
    async (seed) => {
      const random = new seededRandom.SeededRandom(seed);
      const running = new Map<string, string>();
      for (let step = 0; step < 400; step++) {
        const choice = random.next();
        if (choice < 0.5) {
          ask(`r${step}`, { priority: random.nextInt(3) }, `vm-${random.nextInt(3)}`);
        } else if (choice < 0.9) {
          const [first] = [...running.keys()];
          if (first !== undefined) {
            const outcomes = [
              'served',
              'served',
              'served',
              'cancelled',
              'lost',
              'rejected',
            ] as const;
            running.delete(first);
            keeper.release(first, outcomes[random.nextInt(outcomes.length)] as types.RoomOutcome);
          }
        } else {
          await clock.advance(random.nextInt(150));
        }
        answers.forEach((answer, roomId) => {
          if ('endpointId' in answer && !running.has(roomId)) {
            running.set(roomId, answer.endpointId);
          }
        });
        expect(keeper.usedAt('e1')).toBeLessThanOrEqual(SLOTS);
        expect(keeper.usedAt('e2')).toBeLessThanOrEqual(SLOTS);
      }
      await clock.advance(6000);
      expect(keeper.usedAt('e1') + keeper.usedAt('e2')).toBe(0);
      ask('after all');
      expect(grantedAt('after all')).toBeDefined();
    },
  );
});
