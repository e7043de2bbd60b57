import * as vitest from 'vitest';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as placementQueue from './PlacementQueue.js';

const { beforeEach, expect, test } = vitest;

let clock: virtualClock.VirtualClock;
let placed: string[];
/** Delays with which plans are added again when they are placed, in order; they are placed once there is none. */
let delays: number[];
let queue: placementQueue.PlacementQueue;

function plan(priority: number, goalAt: number, fitsAnyEngine = true): placementQueue.IWaitingPlan {
  return { service: 's', priority, goalAt, fitsAnyEngine };
}

beforeEach(() => {
  clock = new virtualClock.VirtualClock();
  placed = [];
  delays = [];
  queue = new placementQueue.PlacementQueue(clock, (planId) => {
    const delay = delays.shift();
    if (delay === undefined) {
      placed.push(planId);
    } else {
      queue.add(planId, plan(0, 0), delay);
    }
  });
});

test('places plans by priority and goal, and leaves out deleted ones', async () => {
  queue.add('low', plan(2, 100), 50);
  queue.add('late', plan(1, 300), 50);
  queue.add('soon', plan(1, 200), 50);
  queue.add('gone', plan(0, 0), 50);
  queue.delete('gone');
  await clock.advance(49);
  expect(placed).toEqual([]);
  await clock.advance(1);
  expect(placed).toEqual(['soon', 'late', 'low']);
});

test('stops at a plan that has to wait longer', async () => {
  queue.add('a', plan(1, 100), 50);
  queue.add('b', plan(2, 100), 50);
  delays = [70];
  await clock.advance(50);
  expect(placed).toEqual([]);
  await clock.advance(70);
  expect(placed).toEqual(['a', 'b']);
});

test('does not make a plan wait for another one whose wait is longer', async () => {
  queue.add('a', plan(1, 100), 10_000);
  queue.add('b', plan(1, 200), 20);
  await clock.advance(20);
  expect(placed).toEqual(['a', 'b']);
});

test('tells whether a plan must let waiting ones go first', () => {
  queue.add('waiting', plan(1, 200), 50);
  expect(queue.hasBefore(plan(1, 300))).toBe(true);
  expect(queue.hasBefore(plan(2, 100))).toBe(true);
  expect(queue.hasBefore(plan(1, 200))).toBe(false);
  expect(queue.hasBefore(plan(0, 300))).toBe(false);
  expect(queue.hasBefore({ ...plan(1, 300), service: 'other' })).toBe(false);
});

test('a plan that only some engines may run holds up no other', async () => {
  queue.dispose();
  queue = new placementQueue.PlacementQueue(clock, (planId) => {
    if (planId === 'bound') {
      queue.add(planId, plan(0, 100, false), 500);
    } else {
      placed.push(planId);
    }
  });
  queue.add('bound', plan(0, 100, false), 50);
  expect(queue.hasBefore(plan(1, 300))).toBe(false);
  queue.add('free', plan(1, 200), 50);
  await clock.advance(50);
  expect(placed).toEqual(['free']);
});

test('tries waiting plans at once when an engine has room', async () => {
  queue.add('a', plan(1, 100), 10_000);
  queue.retry('s');
  queue.retry('other');
  await clock.advance(1);
  expect(placed).toEqual(['a']);
});
