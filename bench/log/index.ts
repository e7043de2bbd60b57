/** Benchmarks of the replicated log on the real disk. */
import * as timers from 'node:timers/promises';
import * as registerStateMachine from '../../src/control/replication/testing/RegisterStateMachine.js';
import type * as controlTypes from '../../src/control/Types.js';
import * as results from '../results.js';
import type * as types from '../Types.js';
import * as loopbackGroup from './LoopbackGroup.js';

const WRITERS = 64;
const WRITES_PER_WRITER = 50;
const REPLICAS = 3;
const VALUE_BYTES = 1024;
const STATE_KEYS = 1000;
const FEW_CHANGES = 1000;
const MANY_CHANGES = 10_000;
/** Further stops, in changes, so that a lucky moment after a snapshot does not decide. */
const STOP_STEP = 37;
const STOPS = 5;
/** Longer than a snapshot of this state takes. */
const REST_MS = 300;
const MICROS_PER_MS = 1000;

/** Runs `writers` tasks that write one after another, `total` writes in all, numbered from `first`. */
async function write(
  log: controlTypes.IReplicatedLog,
  writers: number,
  first: number,
  total: number,
): Promise<readonly number[]> {
  const spans: number[] = [];
  const filler = 'x'.repeat(VALUE_BYTES);
  let next = first;
  const task = async () => {
    while (next < first + total) {
      const number = next;
      next += 1;
      const key = `k${number % STATE_KEYS}`;
      const start = performance.now();
      await log.propose(
        registerStateMachine.encodeWrite(key, `${number}`.padStart(VALUE_BYTES, filler)),
      );
      spans.push(performance.now() - start);
    }
  };
  await Promise.all(Array.from({ length: writers }, task));
  return spans.sort((a, b) => a - b);
}

async function measureSyncs(replicas: number): Promise<readonly types.IBenchResult[]> {
  const group = await loopbackGroup.LoopbackGroup.found(replicas);
  try {
    const leader = await group.leader();
    const before = group.disk.syncs;
    const total = WRITERS * WRITES_PER_WRITER;
    const start = performance.now();
    const spans = await write(leader, WRITERS, 0, total);
    const seconds = (performance.now() - start) / MICROS_PER_MS;
    // Snapshots are counted with it; each replica has its own folder.
    const ratio = (group.disk.syncs - before) / replicas / total;
    const note = `${WRITERS} writers, ${total} writes of ${VALUE_BYTES} B, ${replicas} replicas`;
    const median = spans[Math.floor(spans.length / 2)] ?? NaN;
    const high = spans[Math.floor(spans.length * 0.99)] ?? NaN;
    const figures = [
      results.info(`log/writes-${replicas}-replicas`, total / seconds, 'writes/s', note),
      results.info(`log/write-p50-${replicas}-replicas`, median, 'ms', note),
      results.info(`log/write-p99-${replicas}-replicas`, high, 'ms', note),
    ];
    const syncs =
      replicas === REPLICAS
        ? results.bounded('log/syncs-per-write', ratio, note)
        : results.info(`log/syncs-per-write-${replicas}-replicas`, ratio, 'syncs', note);
    return [syncs, ...figures];
  } finally {
    await group.close();
  }
}

/**
 * Bytes that a restart reads after each of some numbers of changes, from `changes` on; the replica
 * is stopped `rest` milliseconds after its last write.
 */
async function measureRestarts(changes: number, rest: number): Promise<readonly number[]> {
  const group = await loopbackGroup.LoopbackGroup.found(1);
  const read: number[] = [];
  try {
    let done = 0;
    for (let stop = 0; stop < STOPS; stop++) {
      const goal = changes + stop * STOP_STEP;
      await write(await group.leader(), WRITERS, done, goal - done);
      done = goal;
      await timers.setTimeout(rest);
      await group.closeReplicas();
      const before = group.disk.readBytes;
      await group.open();
      read.push(group.disk.readBytes - before);
    }
    return read;
  } finally {
    await group.close();
  }
}

async function measureRestart(): Promise<readonly types.IBenchResult[]> {
  const few = await measureRestarts(FEW_CHANGES, REST_MS);
  const many = await measureRestarts(MANY_CHANGES, REST_MS);
  const busy = await measureRestarts(MANY_CHANGES, 0);
  const state = `${STATE_KEYS} keys of ${VALUE_BYTES} B`;
  const note = `${state}; most of ${STOPS} stops against least, no snapshot under way`;
  const busyNote = `${state}; stopped under ${WRITERS} writers, snapshot perhaps under way`;
  return [
    results.bounded('log/restart-bytes-ratio', Math.max(...many) / Math.min(...few), note),
    results.info('log/restart-bytes-1000', Math.max(...few), 'B', note),
    results.info('log/restart-bytes-10000', Math.max(...many), 'B', note),
    results.info('log/restart-bytes-10000-busy', Math.max(...busy), 'B', busyNote),
  ];
}

/** Measures syncs per write and the bytes that a restart reads. */
export async function run(progress: types.Progress): Promise<readonly types.IBenchResult[]> {
  progress('syncs per write, one replica');
  const single = await measureSyncs(1);
  progress(`syncs per write, ${REPLICAS} replicas`);
  const several = await measureSyncs(REPLICAS);
  progress('bytes read at restart');
  const restart = await measureRestart();
  return [...several, ...single, ...restart];
}
