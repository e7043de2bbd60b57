import * as net from 'node:net';
import * as vitest from 'vitest';
import * as byteBudget from '../common/memory/ByteBudget.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as bodyMemory from './BodyMemory.js';
import * as heldBody from './HeldBody.js';

const { beforeEach, expect, test } = vitest;
const LIMITS = { softBytes: 200_000, hardBytes: 300_000 };
const PART = Buffer.alloc(100_000, 'x');
let clock: manualClock.ManualClock;
let memory: bodyMemory.IBodyMemory;
let dropped: string[];
let body: heldBody.HeldBody;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  const metrics = new recordingMetrics.RecordingMetricsService();
  const budget = new byteBudget.ByteBudget(LIMITS, { clock, metrics });
  memory = bodyMemory.createBodyMemory(budget, clock, undefined);
  dropped = [];
  body = new heldBody.HeldBody({
    memory,
    socket: new net.Socket(),
    maxBytes: 150_000,
    onDropped: (reason) => dropped.push(reason),
  });
});

test('keeps copies of its parts, which are charged until they are taken', () => {
  const part = Buffer.from('part');
  body.append(part);
  part.fill('x');
  body.append(Buffer.from(' two'));
  expect(memory.budget.heldBytes).toBeGreaterThanOrEqual(8);
  expect(body.take().toString()).toBe('part two');
  expect({ held: memory.budget.heldBytes, dropped }).toEqual({ held: 0, dropped: [] });
});

test('drops a body that is too long, once, and holds nothing of it', () => {
  body.append(PART);
  body.append(PART);
  body.append(PART);
  expect({ held: memory.budget.heldBytes, dropped }).toEqual({ held: 0, dropped: ['too-long'] });
});

test('drops a body for which there is no room', () => {
  memory.budget.lease('request').charge(LIMITS.softBytes);
  body.append(PART);
  expect({ held: memory.budget.heldBytes, dropped }).toEqual({
    held: LIMITS.softBytes,
    dropped: ['no-room'],
  });
});

test('gives way to others that need the memory', async () => {
  body.append(PART);
  await clock.advance(1000);
  const isGranted = memory.budget.lease('request').resize(150_000);
  expect({ isGranted, held: memory.budget.heldBytes, dropped }).toEqual({
    isGranted: true,
    held: 150_000,
    dropped: ['no-room'],
  });
});
