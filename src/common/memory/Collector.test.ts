import * as vitest from 'vitest';
import * as manualClock from '../testing/ManualClock.js';
import * as recordingMetrics from '../testing/RecordingMetricsService.js';
import * as blockBuffer from './BlockBuffer.js';
import * as blockPool from './BlockPool.js';
import * as byteBudget from './ByteBudget.js';
import * as collectors from './Collector.js';

const { describe, expect, test } = vitest;
const INTERVAL_MS = 1000;
const MANY_BYTES = 9_000_000;

function start(): {
  readonly clock: manualClock.ManualClock;
  readonly budget: byteBudget.ByteBudget;
  readonly collector: collectors.Collector;
  readonly runs: readonly string[];
} {
  const clock = new manualClock.ManualClock();
  const metrics = new recordingMetrics.RecordingMetricsService();
  const limits = { softBytes: 1000, hardBytes: 1000 };
  const budget = new byteBudget.ByteBudget(limits, { clock, metrics });
  const runs: string[] = [];
  const collector = new collectors.Collector({
    clock,
    budget,
    pool: new blockPool.BlockPool(),
    collect: (options) => runs.push(options?.type ?? 'major'),
  });
  return { clock, budget, collector, runs };
}

describe('Collector', () => {
  test('leaves the heap alone in calm', async () => {
    const { clock, budget, collector, runs } = start();
    budget.lease('request').resize(100);
    collector.recordReceived(1000);
    await clock.advance(10 * INTERVAL_MS);
    expect(runs).toEqual([]);
  });

  test('collects parts of bodies once many bytes have arrived', () => {
    const { collector, runs } = start();
    collector.recordReceived(MANY_BYTES);
    expect(runs).toEqual(['minor']);
  });

  test('collects the whole heap while much is held, and a few times after', async () => {
    const { clock, budget, runs } = start();
    budget.lease('request').resize(800);
    await clock.advance(2 * INTERVAL_MS);
    expect(runs).toEqual(['major', 'major']);
    budget.lease('request').dispose();
  });

  test('collects after a short peak, and stops', async () => {
    const { clock, budget, runs } = start();
    const lease = budget.lease('request');
    lease.resize(800);
    lease.dispose();
    await clock.advance(10 * INTERVAL_MS);
    expect(runs).toHaveLength(3);
  });
});

describe('BlockBuffer', () => {
  test.each([0, 1, 8192, 8193, 32_768, 100_000])('returns %d bytes in order', (size) => {
    const pool = new blockPool.BlockPool();
    const buffer = new blockBuffer.BlockBuffer(pool);
    const bytes = Buffer.from(Array.from({ length: size }, (_, at) => at % 251));
    for (let at = 0; at < size; at += 777) {
      buffer.append(bytes.subarray(at, at + 777));
    }
    expect(buffer.take().equals(bytes)).toBe(true);
  });

  test('uses the blocks of a dropped body again', () => {
    const pool = new blockPool.BlockPool();
    const buffer = new blockBuffer.BlockBuffer(pool);
    buffer.append(Buffer.alloc(10_000));
    buffer.clear();
    const block = pool.take();
    pool.give([block]);
    expect(pool.take()).toBe(block);
  });

  test('says what it takes before it takes it', () => {
    const buffer = new blockBuffer.BlockBuffer(new blockPool.BlockPool());
    expect(buffer.capacityWith(100)).toBe(100);
    expect(buffer.capacityWith(10_000)).toBe(32_768);
    expect(buffer.capacityWith(40_000)).toBe(65_536);
  });
});
