import * as vitest from 'vitest';
import type * as memoryDisk from '../log/testing/MemoryDisk.js';
import * as membershipError from './MembershipError.js';
import * as notLeader from './NotLeaderError.js';
import * as registers from './testing/Registers.js';
import * as simulatedGroup from './testing/SimulatedGroup.js';

const { afterEach, describe, expect, it } = vitest;

/** An entry's encoding beside its command. */
const ENTRY_OVERHEAD_BYTES = 32;
/** Identity, vote, and the members in the snapshot. */
const SMALL_FILES_BYTES = 512;

/** The ids of all replicas but one. */
function others(group: simulatedGroup.SimulatedGroup, id: string): string[] {
  return [...group.running.keys()].filter((each) => each !== id);
}

/** What a promise came to, while time moves. */
async function outcome(
  group: simulatedGroup.SimulatedGroup,
  promise: Promise<unknown>,
): Promise<string> {
  return group.complete(
    promise.then(
      () => 'done',
      (err: Error) => err.name,
    ),
  );
}

describe('a group of replicas', () => {
  let group = new simulatedGroup.SimulatedGroup(1);

  async function found(seed: number, ids = ['c1', 'c2', 'c3']): Promise<string> {
    group = new simulatedGroup.SimulatedGroup(seed, ids);
    const { id } = await group.startAll();
    return id;
  }

  afterEach(() => {
    group.dispose();
    expect(group.violations).toEqual([]);
  });

  it('agrees on commands, with three and with five replicas', async () => {
    for (const ids of [
      ['c1', 'c2', 'c3'],
      ['c1', 'c2', 'c3', 'c4', 'c5'],
    ]) {
      await found(11, ids);
      await group.write('a', '1');
      expect(await group.write('a', '2')).toBe('1');
      await group.converge();
      group.running.forEach(({ state }) => expect(state.get('a')).toBe('2'));
      group.dispose();
    }
  });

  it('is not founded before every named replica has answered', async () => {
    group = new simulatedGroup.SimulatedGroup(2);
    await group.start('c1');
    await group.start('c2');
    await expect(group.waitForLeader(5000)).rejects.toThrow('no leader');
    await group.start('c3');
    await group.waitForLeader();
  });

  it('lets a follower refuse commands and name the leader', async () => {
    const id = await found(3);
    await group.clock.advance(200);
    const follower = group.running.get(others(group, id)[0] ?? '');
    const refused = follower?.log.propose(registers.encodeWrite('a', '1'));
    await expect(refused).rejects.toMatchObject({ name: 'NotLeaderError', leaderId: id });
    await expect(follower?.log.readBarrier()).rejects.toBeInstanceOf(notLeader.NotLeaderError);
  });

  it('elects another leader when the leader dies, and keeps what was acknowledged', async () => {
    const id = await found(4);
    await group.write('a', '1');
    group.crash(id);
    expect(await group.write('a', '2')).toBe('1');
    await group.start(id);
    await group.converge();
    expect(group.running.get(id)?.state.get('a')).toBe('2');
  });

  it('makes a leader without a quorum step down, its commands unknown, its reads refused', async () => {
    const id = await found(5);
    const old = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    group.network.isolate(id);
    const write = outcome(group, old.log.propose(registers.encodeWrite('a', 'lost')));
    expect(await write).toBe('CommitUnknownError');
    expect(await outcome(group, old.log.readBarrier())).toBe('NotLeaderError');
    await group.write('a', '1');
    group.network.heal();
    await group.converge();
    expect(old.state.get('a')).toBe('1');
  });

  it('acknowledges nothing stale from a frozen leader that wakes up', async () => {
    const id = await found(6);
    await group.write('a', 'old');
    const old = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const read = () =>
      old.log.readBarrier().then(
        () => old.state.get('a'),
        (err: Error) => err.name,
      );
    const before = read();
    old.clock.freeze();
    await group.clock.advance(2000);
    await group.write('a', 'new');
    old.clock.thaw();
    const after = read();
    const write = outcome(group, old.log.propose(registers.encodeWrite('a', 'late')));
    expect(['CommitUnknownError', 'NotLeaderError']).toContain(await write);
    expect(await group.complete(after)).toBe('NotLeaderError');
    // A read that was called before the freeze may see the value of that time.
    expect(['old', 'NotLeaderError']).toContain(await group.complete(before));
    await group.converge();
    expect(old.state.get('a')).toBe('new');
  });

  it('is not disturbed by a replica that returns after a long cut', async () => {
    const id = await found(7);
    const cut = others(group, id)[0] as string;
    group.network.isolate(cut);
    await group.clock.advance(10_000);
    const { term } = group.leader()?.log.status() ?? {};
    group.network.heal();
    await group.clock.advance(2000);
    expect(group.leader()?.id).toBe(id);
    expect(group.leader()?.log.status().term).toBe(term);
    expect(group.running.get(cut)?.log.status().term).toBe(term);
  });

  it('brings back a replica that missed hundreds of changes, by a snapshot in parts', async () => {
    const id = await found(8);
    const away = others(group, id)[0] as string;
    group.crash(away);
    const { log } = await group.waitForLeader();
    for (let batch = 0; batch < 10; batch++) {
      const writes = Array.from({ length: 100 }, (each, at) =>
        log.propose(registers.encodeWrite(`k${at % 30}`, `${batch}-${at}`)),
      );
      await group.complete(Promise.all(writes));
    }
    await group.start(away);
    await group.converge();
    expect(group.network.delivered.get('snapshot')).toBeGreaterThan(2);
    expect(group.running.get(away)?.state.snapshot()).toEqual(group.leader()?.state.snapshot());
  });

  it('restarts whole after 1,000 changes, and reads the state rather than the history', async () => {
    await found(18);
    const { log } = await group.waitForLeader();
    const changes = 1000;
    for (let done = 0; done < changes; done += 50) {
      const writes = Array.from({ length: 50 }, (each, at) =>
        log.propose(registers.encodeWrite(`k${at}`, `${done + at}`)),
      );
      await group.complete(Promise.all(writes));
    }
    await group.converge();
    const before = group.leader()?.state.entries();
    const state = group.leader()?.state.snapshot().length ?? NaN;
    // A segment ends at the length that makes a snapshot due, or a round of writes later; at most
    // two are there, the older one while the snapshot that covers it is saved.
    const entryBytes = registers.encodeWrite('k10', '1000').length + ENTRY_OVERHEAD_BYTES;
    const segment = (simulatedGroup.TUNING.snapshotMinLogBytes ?? NaN) + 50 * entryBytes;
    const bound = state + 2 * segment + SMALL_FILES_BYTES;
    expect(bound).toBeLessThan((changes * entryBytes) / 4);
    [...group.running.keys()].forEach((id) => group.crash(id));
    await group.startAll();
    await group.converge();
    group.running.forEach((each) => {
      expect([each.id, each.state.entries()]).toEqual([each.id, before]);
      expect(group.disks.get(each.id)?.counts.readBytes).toBeLessThan(bound);
    });
    expect(group.committed.size).toBe(changes);
  });

  it('refuses a replica that lost its folder under its old identity, until it is replaced', async () => {
    const id = await found(9);
    const [lost, third] = others(group, id) as [string, string];
    await group.write('a', '1');
    group.crash(lost);
    group.loseDisk(lost);
    await group.start(lost);
    await group.clock.advance(3000);
    expect(group.running.get(lost)?.log.status().commitIndex).toBe(0);
    expect(group.logService.events.map(({ event }) => event)).toContain('peer-refused');
    // It must not make up a quorum with one of the others.
    group.crash(third);
    await expect(group.waitForLeader(5000)).rejects.toThrow('no leader');
    await group.start(third);
    const { log } = await group.waitForLeader();
    await group.complete(log.changeMembership({ action: 'remove', id: lost }));
    const learner = { action: 'add-learner', id: lost, address: lost } as const;
    await group.complete(log.changeMembership(learner));
    expect(group.running.get(lost)?.log.status().role).not.toBe('leader');
    await group.complete(log.changeMembership({ action: 'promote', id: lost }));
    // A second replica is lost right after the repair.
    group.crash(third);
    expect(await group.write('a', '2')).toBe('1');
    await group.converge();
    expect(group.running.get(lost)?.state.get('a')).toBe('2');
  });

  it('never founds a second group over one that exists', async () => {
    const id = await found(10);
    await group.write('a', '1');
    group.crash('c1');
    group.loseDisk('c1');
    await group.start('c1');
    await group.clock.advance(3000);
    expect(group.running.get('c1')?.log.status().members).toEqual([]);
    expect(await group.write('a', '2')).toBe('1');
    expect(id).toBeDefined();
  });

  it('changes its members one at a time, and refuses what is unsafe', async () => {
    await found(12);
    const { log } = await group.waitForLeader();
    const add = { action: 'add-learner', id: 'c4', address: 'c4' } as const;
    await expect(group.complete(log.changeMembership(add))).rejects.toThrow('c4 at c4');
    await group.start('c4', []);
    const first = log.changeMembership(add);
    const second = log.changeMembership({ action: 'remove', id: 'c2' });
    await expect(second).rejects.toBeInstanceOf(membershipError.MembershipError);
    await group.complete(first);
    await group.complete(log.changeMembership(add));
    await group.complete(log.changeMembership({ action: 'promote', id: 'c4' }));
    expect(log.status().members.map(({ id, voter }) => [id, voter])).toEqual(
      ['c1', 'c2', 'c3', 'c4'].map((id) => [id, true]),
    );
    const busy = log.changeMembership({ action: 'add-learner', id: 'c5', address: 'c1' });
    await expect(group.complete(busy)).rejects.toThrow('not a blank replica');
  });

  it('hands over when the leader is removed', async () => {
    const id = await found(13);
    await group.write('a', '1');
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    await group.complete(log.changeMembership({ action: 'remove', id }));
    expect(log.status().role).toBe('follower');
    await group.write('a', '2');
    expect(group.leader()?.id).not.toBe(id);
  });

  it('refuses commands beyond its bounds before it appends anything', async () => {
    const id = await found(14);
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const flood = Array.from({ length: 5000 }, (each, at) =>
      log.propose(registers.encodeWrite('a', `${at}`)).then(
        () => 'done',
        (err: Error) => err.name,
      ),
    );
    const outcomes = await group.complete(Promise.all(flood));
    expect(outcomes.filter((each) => each === 'done')).toHaveLength(4096);
    expect(outcomes.filter((each) => each === 'BusyError')).toHaveLength(904);
    await expect(log.propose(new Uint8Array(2 ** 20 + 1))).rejects.toThrow('the limit is');
  });

  it('refuses commands while its disk has no room, and goes on afterwards', async () => {
    const id = await found(15);
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const disk = group.disks.get(id) as memoryDisk.MemoryDisk;
    disk.remainingBytes = 0;
    await group.clock.advance(1500);
    const refused = log.propose(registers.encodeWrite('a', '1'));
    await expect(refused).rejects.toMatchObject({ name: 'BusyError', reason: 'disk-full' });
    disk.remainingBytes = Infinity;
    await group.clock.advance(1500);
    await group.write('a', '1');
    expect(group.leader()?.id).toBe(id);
  });

  it('acknowledges nothing that a quorum has not synced', async () => {
    const id = await found(17);
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const slow = 400;
    others(group, id).forEach((each) => {
      (group.disks.get(each) as memoryDisk.MemoryDisk).minSyncMs = slow;
    });
    let acknowledged = false;
    const write = log.propose(registers.encodeWrite('a', '1')).then(() => {
      acknowledged = true;
    });
    await group.clock.advance(slow - 1);
    expect(acknowledged).toBe(false);
    await group.complete(write);
    [...group.running.keys()].forEach((each) => group.crash(each));
    await group.startAll();
    expect(await group.write('a', '2')).toBe('1');
  });

  it('stops a replica whose disk fails a sync, and loses nothing acknowledged', async () => {
    const id = await found(16);
    await group.write('a', '1');
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const failures: string[] = [];
    log.onFailed((err) => failures.push(err.message));
    const disk = group.disks.get(id) as memoryDisk.MemoryDisk;
    disk.failSyncAfter = disk.counts.syncs;
    const write = outcome(group, log.propose(registers.encodeWrite('a', 'x')));
    expect(await write).toBe('CommitUnknownError');
    expect(failures).toHaveLength(1);
    await expect(log.propose(registers.encodeWrite('a', 'y'))).rejects.toThrow();
    group.crash(id);
    expect(['1', 'x']).toContain(await group.write('a', '2'));
    await group.start(id);
    await group.converge();
  });
});
