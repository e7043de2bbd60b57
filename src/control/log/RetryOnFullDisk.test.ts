import * as vitest from 'vitest';
import * as seededRandom from '../../common/SeededRandom.js';
import * as manualClock from '../../common/testing/ManualClock.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as logStore from './LogStore.js';
import * as memoryDisk from './testing/MemoryDisk.js';
import type * as types from './Types.js';
import * as retryOnFullDisk from './RetryOnFullDisk.js';

const { describe, expect, it } = vitest;
const DIR = '/data';

function entry(index: number): types.IEntry {
  return { index, term: 1, kind: 'command', data: Buffer.from(`value ${index}`) };
}

function open(disk: types.IDisk, log = new recordingLog.RecordingLogService()) {
  return logStore.LogStore.open(disk, DIR, 'c1', new seededRandom.SeededRandom(7), log);
}

function indices(store: logStore.LogStore): readonly number[] {
  return store.entriesFrom(1, Infinity).map(({ index }) => index);
}

describe('LogStore on a RetryOnFullDisk', () => {
  it('acknowledges appends only once the full disk has space again', async () => {
    const clock = new manualClock.ManualClock();
    const log = new recordingLog.RecordingLogService();
    const disk = new memoryDisk.MemoryDisk();
    const store = await open(new retryOnFullDisk.RetryOnFullDisk(disk, clock, log), log);
    await store.append([entry(1)]);
    disk.remainingBytes = 20;
    let outcome = 'pending';
    const appended = store.append([entry(2)]).then(() => {
      outcome = 'durable';
    });
    await clock.advance(5000);
    expect([outcome, store.durableIndex]).toEqual(['pending', 1]);
    disk.remainingBytes = Infinity;
    await clock.advance(200);
    await appended;
    expect([outcome, store.durableIndex]).toEqual(['durable', 2]);
    const events = log.events.map((each) => each.event);
    expect(events.filter((event) => event === 'disk-full')).toHaveLength(1);
    expect(events).toContain('disk-room-regained');
    expect(events).not.toContain('storage-failed');
    expect(indices(await open(disk.crash('lose')))).toEqual([1, 2]);
  });

  it('keeps acknowledged entries through a crash while the disk is full', async () => {
    const clock = new manualClock.ManualClock();
    const disk = new memoryDisk.MemoryDisk();
    const log = new recordingLog.RecordingLogService();
    const store = await open(new retryOnFullDisk.RetryOnFullDisk(disk, clock, log));
    await store.append([entry(1)]);
    disk.remainingBytes = 20;
    const appended = store.append([entry(2)]).catch((err: Error) => err.message);
    await clock.advance(300);
    store.dispose();
    expect(await appended).toContain('closed');
    expect(indices(await open(disk.crash('keep')))).toEqual([1]);
  });

  it('opens a folder on a full disk once it has space', async () => {
    const clock = new manualClock.ManualClock();
    const log = new recordingLog.RecordingLogService();
    const disk = new memoryDisk.MemoryDisk();
    disk.remainingBytes = 0;
    const opening = open(new retryOnFullDisk.RetryOnFullDisk(disk, clock, log));
    await clock.advance(1000);
    disk.remainingBytes = Infinity;
    await clock.advance(200);
    expect(indices(await opening)).toEqual([]);
  });

  it('rejects an append when its sync fails', async () => {
    const clock = new manualClock.ManualClock();
    const log = new recordingLog.RecordingLogService();
    const disk = new memoryDisk.MemoryDisk();
    const store = await open(new retryOnFullDisk.RetryOnFullDisk(disk, clock, log));
    disk.failSyncAfter = disk.counts.syncs;
    await expect(store.append([entry(1)])).rejects.toThrow('sync failed');
  });
});
