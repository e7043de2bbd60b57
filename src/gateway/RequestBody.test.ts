import * as net from 'node:net';
import * as vitest from 'vitest';
import * as byteBudget from '../common/memory/ByteBudget.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as bodyMemory from './BodyMemory.js';
import * as requestBody from './RequestBody.js';

const { describe, expect, test } = vitest;

/** A body whose budget has `budgetBytes` and whose drops are recorded. */
function start(
  budgetBytes: number,
  maxBytes = 100,
): {
  readonly body: requestBody.RequestBody;
  readonly budget: byteBudget.ByteBudget;
  readonly clock: manualClock.ManualClock;
  readonly socket: net.Socket;
  readonly drops: readonly requestBody.DropReason[];
} {
  const clock = new manualClock.ManualClock();
  const metrics = new recordingMetrics.RecordingMetricsService();
  const limits = { softBytes: budgetBytes, hardBytes: budgetBytes };
  const budget = new byteBudget.ByteBudget(limits, { clock, metrics });
  const socket = new net.Socket();
  const drops: requestBody.DropReason[] = [];
  const body = new requestBody.RequestBody({
    memory: bodyMemory.createBodyMemory(budget, clock, undefined),
    socket,
    maxBytes,
    onDropped: (reason) => drops.push(reason),
  });
  return { body, budget, clock, socket, drops };
}

describe('RequestBody', () => {
  test('joins its parts and is charged with the head until it is disposed', () => {
    const { body, budget, drops } = start(1000);
    body.holdHead(50);
    body.append(Buffer.from('ab'));
    body.append(Buffer.from('cd'));
    expect(budget.heldBytes).toBe(54);
    expect(body.take().toString()).toBe('abcd');
    expect(budget.heldBytes).toBe(54);
    body.dispose();
    expect(budget.heldBytes).toBe(0);
    expect(drops).toEqual([]);
  });

  test('is dropped once when it is too long, and holds nothing of the rest', () => {
    const { body, budget, drops } = start(1000);
    body.append(Buffer.alloc(80));
    body.append(Buffer.alloc(80));
    body.append(Buffer.alloc(80));
    expect(drops).toEqual(['too-long']);
    expect(body.bytes).toBe(240);
    expect(budget.heldBytes).toBe(0);
    expect(body.drop()).toBe(false);
  });

  test('is dropped when the process has no memory for it', () => {
    const { body, drops } = start(60);
    body.holdHead(50);
    body.append(Buffer.alloc(20));
    expect(drops).toEqual(['no-room']);
  });

  test('is dropped when the memory is needed, but not once it is complete', async () => {
    const first = start(100_000, 80_000);
    first.body.append(Buffer.alloc(60_000));
    await first.clock.advance(1000);
    expect(first.budget.lease('relay').resize(60_000)).toBe(true);
    expect(first.drops).toEqual(['no-room']);
    const second = start(100_000, 80_000);
    second.body.append(Buffer.alloc(60_000));
    second.body.take();
    await second.clock.advance(1000);
    expect(second.budget.lease('relay').resize(60_000)).toBe(false);
    expect(second.drops).toEqual([]);
  });

  test('holds nothing once its connection is closed', async () => {
    const { body, budget, socket } = start(1000);
    body.append(Buffer.alloc(50));
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.destroy();
    await closed;
    expect(budget.heldBytes).toBe(0);
  });
});
