import * as vitest from 'vitest';
import * as batchChooser from './BatchChooser.js';
import * as queuedGroup from './QueuedGroup.js';
import type * as types from './Types.js';

const { describe, expect, test } = vitest;
const NOW = 10_000;
const SITE = {
  zone: 'a',
  endpointsByZone: new Map([
    ['a', 2],
    ['b', 2],
  ]),
  isLightlyLoaded: true,
  now: NOW,
};
const AMPLE_ROOM = { endpointFree: 1e9, totalFree: 1e9, totalUsable: 1e9 };

function group(items: number, change: Partial<types.IItemGroup> = {}): queuedGroup.QueuedGroup {
  const queuedItems = Array.from({ length: items }, (_, segment) => ({
    item: { requestId: 'r', stage: 0, segment, key: 'k' },
    onResult: () => {},
    onFailure: () => {},
  }));
  return new queuedGroup.QueuedGroup({
    items: queuedItems,
    resultBytes: 10,
    latestStartForGoal: NOW + 1000,
    latestStartForDeadline: NOW + 9000,
    deadline: NOW + 10_000,
    priority: 1,
    queuedAt: NOW,
    preferredZone: undefined,
    crossZoneBytes: 0,
    freesRoom: false,
    inputsExpireAt: Number.POSITIVE_INFINITY,
    downstreamDelay: () => 0,
    isCancelled: () => false,
    ...change,
  });
}

describe('sortByUrgency', () => {
  test('sorts by priority, then by latest start, with groups that miss their goal last', () => {
    const late = group(1, { latestStartForGoal: NOW - 1, priority: 0 });
    const soon = group(1, { latestStartForGoal: NOW + 100 });
    const later = group(1, { latestStartForGoal: NOW + 900 });
    const urgent = group(1, { latestStartForGoal: NOW + 900, priority: 0 });
    const sorted = batchChooser.sortByUrgency([late, later, soon, urgent], SITE);
    expect(sorted).toEqual([urgent, soon, later, late]);
  });

  test('sorts a started group before groups of any priority', () => {
    const started = group(4, { priority: 2 });
    started.take(1);
    const urgent = group(1, { priority: 0 });
    expect(batchChooser.sortByUrgency([urgent, started], SITE)[0]).toBe(started);
  });
});

describe('chooseBatch', () => {
  test('does not start a group unless all of its results fit', () => {
    const large = group(4, { resultBytes: 30 });
    const room = { endpointFree: 60, totalFree: 100, totalUsable: 1000 };
    expect(batchChooser.chooseBatch([large], 7, room, SITE)).toEqual([]);
  });

  test('reserves the room that started groups still need', () => {
    const started = group(3, { resultBytes: 30 });
    started.take(1);
    const fresh = group(2, { resultBytes: 30 });
    const room = { endpointFree: 30, totalFree: 100, totalUsable: 1000 };
    const picks = batchChooser.chooseBatch([started, fresh], 7, room, SITE);
    expect(picks).toEqual([{ group: started, count: 1 }]);
  });

  test('lets only much smaller results overtake a group that waits for room', () => {
    const blocked = group(4, { resultBytes: 30 });
    const similar = group(1, { resultBytes: 20 });
    const tiny = group(1, { resultBytes: 2 });
    const room = { endpointFree: 60, totalFree: 100, totalUsable: 1000 };
    const picks = batchChooser.chooseBatch([blocked, similar, tiny], 7, room, SITE);
    expect(picks.map((pick) => pick.group)).toEqual([tiny]);
  });

  test('does not start a group while the next stage has a long queue', () => {
    const blocked = group(1, { downstreamDelay: () => 5000 });
    expect(batchChooser.chooseBatch([blocked], 7, AMPLE_ROOM, SITE)).toEqual([]);
  });

  test('waits for the zone that consumes large results only while the goal allows it', () => {
    const remote = { preferredZone: 'b', crossZoneBytes: 800_000 };
    const patient = group(1, { ...remote, latestStartForGoal: NOW + 2000 });
    const urgent = group(1, { ...remote, latestStartForGoal: NOW + 100 });
    expect(batchChooser.chooseBatch([patient], 7, AMPLE_ROOM, SITE)).toEqual([]);
    expect(batchChooser.chooseBatch([urgent], 7, AMPLE_ROOM, SITE)).toHaveLength(1);
  });

  test('prefers groups whose inputs are in the zone of the call, unless another is more urgent by about a call', () => {
    const remote = group(1, {
      preferredZone: 'b',
      crossZoneBytes: 480_000,
      latestStartForGoal: NOW + 300,
    });
    const local = group(1, {
      preferredZone: 'a',
      crossZoneBytes: 480_000,
      latestStartForGoal: NOW + 500,
    });
    const urgent = group(1, {
      preferredZone: 'b',
      crossZoneBytes: 480_000,
      latestStartForGoal: NOW + 50,
    });
    expect(batchChooser.sortByUrgency([remote, local], SITE)).toEqual([local, remote]);
    expect(batchChooser.sortByUrgency([urgent, local], SITE)).toEqual([urgent, local]);
  });

  test('does not wait for a zone with a single endpoint', () => {
    const single = { ...SITE, endpointsByZone: new Map([['b', 1]]) };
    const remote = group(1, {
      preferredZone: 'b',
      crossZoneBytes: 800_000,
      latestStartForGoal: NOW + 2000,
    });
    expect(batchChooser.chooseBatch([remote], 7, AMPLE_ROOM, single)).toHaveLength(1);
  });

  test('lets a group whose inputs hold room wait for its zone for about one call only', () => {
    const remote = {
      preferredZone: 'b',
      crossZoneBytes: 480_000,
      latestStartForGoal: NOW + 2000,
      freesRoom: true,
    };
    const fresh = group(1, { ...remote, queuedAt: NOW - 100 });
    const old = group(1, { ...remote, queuedAt: NOW - 500 });
    expect(batchChooser.chooseBatch([fresh], 7, AMPLE_ROOM, SITE)).toEqual([]);
    expect(batchChooser.chooseBatch([old], 7, AMPLE_ROOM, SITE)).toHaveLength(1);
  });

  test('fills a call with items of several groups up to its limit', () => {
    const picks = batchChooser.chooseBatch([group(3), group(3), group(3)], 7, AMPLE_ROOM, SITE);
    expect(picks.map((pick) => pick.count)).toEqual([3, 3, 1]);
  });
});
