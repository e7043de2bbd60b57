import * as vitest from 'vitest';
import type * as memoryDisk from '../log/testing/MemoryDisk.js';
import * as membershipError from './MembershipError.js';
import * as notLeader from './NotLeaderError.js';
import * as registerStateMachine from './testing/RegisterStateMachine.js';
import * as simulatedGroup from './testing/SimulatedGroup.js';

const { afterEach, describe, expect, it } = vitest;

/** Bytes allowed for the encoding of an entry besides its command. */
const ENTRY_OVERHEAD_BYTES = 32;
/** Bytes allowed for the identity, the vote, and the members in the snapshot. */
const SMALL_FILES_BYTES = 512;

/** Returns the ids of all running replicas except `id`. */
function otherIds(group: simulatedGroup.SimulatedGroup, id: string): string[] {
  return [...group.running.keys()].filter((each) => each !== id);
}

/** Advances the clock until the promise settles; resolves with `done` or the name of the error. */
async function outcomeOf(
  group: simulatedGroup.SimulatedGroup,
  promise: Promise<unknown>,
): Promise<string> {
  return group.advanceUntilSettled(
    promise.then(
      () => 'done',
      (err: Error) => err.name,
    ),
  );
}

describe('a group of replicas', () => {
  let group = new simulatedGroup.SimulatedGroup(1);

  async function foundGroup(seed: number, ids = ['c1', 'c2', 'c3']): Promise<string> {
    group = new simulatedGroup.SimulatedGroup(seed, ids);
    const { id } = await group.startAll();
    return id;
  }

  afterEach(() => {
    group.dispose();
    expect(group.violations).toEqual([]);
  });

  it('commits commands with three and with five replicas', async () => {
    for (const ids of [
      ['c1', 'c2', 'c3'],
      ['c1', 'c2', 'c3', 'c4', 'c5'],
    ]) {
      await foundGroup(11, ids);
      await group.write('a', '1');
      expect(await group.write('a', '2')).toBe('1');
      await group.converge();
      group.running.forEach(({ state }) => expect(state.get('a')).toBe('2'));
      group.dispose();
    }
  });

  it('is not founded before every founding replica has responded', async () => {
    group = new simulatedGroup.SimulatedGroup(2);
    await group.start('c1');
    await group.start('c2');
    await expect(group.waitForLeader(5000)).rejects.toThrow('no leader');
    await group.start('c3');
    await group.waitForLeader();
  });

  it('rejects commands and reads at a follower, naming the leader', async () => {
    const id = await foundGroup(3);
    await group.clock.advance(200);
    const follower = group.running.get(otherIds(group, id)[0] ?? '');
    const refused = follower?.log.propose(registerStateMachine.encodeWrite('a', '1'));
    await expect(refused).rejects.toMatchObject({ name: 'NotLeaderError', leaderId: id });
    await expect(follower?.log.readBarrier()).rejects.toBeInstanceOf(notLeader.NotLeaderError);
  });

  it('elects a new leader after the leader crashes, and keeps acknowledged writes', async () => {
    const id = await foundGroup(4);
    await group.write('a', '1');
    group.crash(id);
    expect(await group.write('a', '2')).toBe('1');
    await group.start(id);
    await group.converge();
    expect(group.running.get(id)?.state.get('a')).toBe('2');
  });

  it('makes a leader without a quorum step down, with unknown outcome for commands and rejected reads', async () => {
    const id = await foundGroup(5);
    const deposed = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    group.network.isolate(id);
    const write = outcomeOf(
      group,
      deposed.log.propose(registerStateMachine.encodeWrite('a', 'lost')),
    );
    expect(await write).toBe('CommitUnknownError');
    expect(await outcomeOf(group, deposed.log.readBarrier())).toBe('NotLeaderError');
    await group.write('a', '1');
    group.network.heal();
    await group.converge();
    expect(deposed.state.get('a')).toBe('1');
  });

  it('neither serves stale reads nor acknowledges writes from a leader that was frozen and deposed', async () => {
    const id = await foundGroup(6);
    await group.write('a', 'old');
    const deposed = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const read = () =>
      deposed.log.readBarrier().then(
        () => deposed.state.get('a'),
        (err: Error) => err.name,
      );
    const before = read();
    deposed.clock.freeze();
    await group.clock.advance(2000);
    await group.write('a', 'new');
    deposed.clock.thaw();
    const after = read();
    const write = outcomeOf(
      group,
      deposed.log.propose(registerStateMachine.encodeWrite('a', 'late')),
    );
    expect(['CommitUnknownError', 'NotLeaderError']).toContain(await write);
    expect(await group.advanceUntilSettled(after)).toBe('NotLeaderError');
    // A read that began before the freeze may return the value of that time.
    expect(['old', 'NotLeaderError']).toContain(await group.advanceUntilSettled(before));
    await group.converge();
    expect(deposed.state.get('a')).toBe('new');
  });

  it('keeps its leader and term when a replica returns after a long network partition', async () => {
    const id = await foundGroup(7);
    const isolatedId = otherIds(group, id)[0] as string;
    group.network.isolate(isolatedId);
    await group.clock.advance(10_000);
    const { term } = group.leader()?.log.status() ?? {};
    group.network.heal();
    await group.clock.advance(2000);
    expect(group.leader()?.id).toBe(id);
    expect(group.leader()?.log.status().term).toBe(term);
    expect(group.running.get(isolatedId)?.log.status().term).toBe(term);
  });

  it('brings a replica that missed hundreds of changes up to date by a snapshot in chunks', async () => {
    const id = await foundGroup(8);
    const crashedId = otherIds(group, id)[0] as string;
    group.crash(crashedId);
    const { log } = await group.waitForLeader();
    for (let batch = 0; batch < 10; batch++) {
      const writes = Array.from({ length: 100 }, (each, at) =>
        log.propose(registerStateMachine.encodeWrite(`k${at % 30}`, `${batch}-${at}`)),
      );
      await group.advanceUntilSettled(Promise.all(writes));
    }
    await group.start(crashedId);
    await group.converge();
    expect(group.network.delivered.get('snapshot')).toBeGreaterThan(2);
    expect(group.running.get(crashedId)?.state.snapshot()).toEqual(
      group.leader()?.state.snapshot(),
    );
  });

  it('restores the state after 1,000 changes from the snapshot instead of replaying the history', async () => {
    await foundGroup(18);
    const { log } = await group.waitForLeader();
    const changes = 1000;
    for (let done = 0; done < changes; done += 50) {
      const writes = Array.from({ length: 50 }, (each, at) =>
        log.propose(registerStateMachine.encodeWrite(`k${at}`, `${done + at}`)),
      );
      await group.advanceUntilSettled(Promise.all(writes));
    }
    await group.converge();
    const before = group.leader()?.state.entries();
    const state = group.leader()?.state.snapshot().length ?? NaN;
    // A segment ends at the size that makes a snapshot due, or one batch of writes later. At most two
    // segments exist; the older one is kept until the snapshot that covers it is saved.
    const entryBytes =
      registerStateMachine.encodeWrite('k10', '1000').length + ENTRY_OVERHEAD_BYTES;
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

  it('refuses a replica that lost its data folder until it is removed and added again', async () => {
    const id = await foundGroup(9);
    const [lostId, otherId] = otherIds(group, id) as [string, string];
    await group.write('a', '1');
    group.crash(lostId);
    group.loseDisk(lostId);
    await group.start(lostId);
    await group.clock.advance(3000);
    expect(group.running.get(lostId)?.log.status().commitIndex).toBe(0);
    expect(group.logService.events.map(({ event }) => event)).toContain('peer-refused');
    // The replica must not form a quorum with the remaining one.
    group.crash(otherId);
    await expect(group.waitForLeader(5000)).rejects.toThrow('no leader');
    await group.start(otherId);
    const { log } = await group.waitForLeader();
    await group.advanceUntilSettled(log.changeMembership({ action: 'remove', id: lostId }));
    const learner = { action: 'add-learner', id: lostId, address: lostId } as const;
    await group.advanceUntilSettled(log.changeMembership(learner));
    await group.converge();
    expect(group.running.get(lostId)?.log.status()).toMatchObject({
      role: 'learner',
      isVoter: false,
      hasLeader: true,
    });
    await group.advanceUntilSettled(log.changeMembership({ action: 'promote', id: lostId }));
    await group.converge();
    expect(group.running.get(lostId)?.log.status().isVoter).toBe(true);
    // A second replica crashes right after the first one has been replaced.
    group.crash(otherId);
    expect(await group.write('a', '2')).toBe('1');
    await group.converge();
    expect(group.running.get(lostId)?.state.get('a')).toBe('2');
  });

  it('does not found a second group when the founder lost its data folder', async () => {
    const id = await foundGroup(10);
    await group.write('a', '1');
    group.crash('c1');
    group.loseDisk('c1');
    await group.start('c1');
    await group.clock.advance(3000);
    expect(group.running.get('c1')?.log.status().members).toEqual([]);
    expect(await group.write('a', '2')).toBe('1');
    expect(id).toBeDefined();
  });

  it('changes its members one at a time, and rejects unsafe changes', async () => {
    await foundGroup(12);
    const { log } = await group.waitForLeader();
    const add = { action: 'add-learner', id: 'c4', address: 'c4' } as const;
    await expect(group.advanceUntilSettled(log.changeMembership(add))).rejects.toThrow('c4 at c4');
    await group.start('c4', []);
    const first = log.changeMembership(add);
    const second = log.changeMembership({ action: 'remove', id: 'c2' });
    await expect(second).rejects.toBeInstanceOf(membershipError.MembershipError);
    await group.advanceUntilSettled(first);
    await group.advanceUntilSettled(log.changeMembership(add));
    await group.advanceUntilSettled(log.changeMembership({ action: 'promote', id: 'c4' }));
    expect(log.status().members.map(({ id, voter }) => [id, voter])).toEqual(
      ['c1', 'c2', 'c3', 'c4'].map((id) => [id, true]),
    );
    const busy = log.changeMembership({ action: 'add-learner', id: 'c5', address: 'c1' });
    await expect(group.advanceUntilSettled(busy)).rejects.toThrow('not a blank replica');
  });

  it('elects a new leader after the leader is removed', async () => {
    const id = await foundGroup(13);
    await group.write('a', '1');
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    await group.advanceUntilSettled(log.changeMembership({ action: 'remove', id }));
    expect(log.status().role).toBe('follower');
    await group.write('a', '2');
    expect(group.leader()?.id).not.toBe(id);
  });

  it('rejects commands beyond its limits without appending them', async () => {
    const id = await foundGroup(14);
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const flood = Array.from({ length: 5000 }, (each, at) =>
      log.propose(registerStateMachine.encodeWrite('a', `${at}`)).then(
        () => 'done',
        (err: Error) => err.name,
      ),
    );
    const outcomes = await group.advanceUntilSettled(Promise.all(flood));
    expect(outcomes.filter((each) => each === 'done')).toHaveLength(4096);
    expect(outcomes.filter((each) => each === 'BusyError')).toHaveLength(904);
    await expect(log.propose(new Uint8Array(2 ** 20 + 1))).rejects.toThrow('the limit is');
  });

  it('rejects commands while its disk is full, and accepts them again afterwards', async () => {
    const id = await foundGroup(15);
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const disk = group.disks.get(id) as memoryDisk.MemoryDisk;
    disk.remainingBytes = 0;
    await group.clock.advance(1500);
    const refused = log.propose(registerStateMachine.encodeWrite('a', '1'));
    await expect(refused).rejects.toMatchObject({ name: 'BusyError', reason: 'disk-full' });
    disk.remainingBytes = Infinity;
    await group.clock.advance(1500);
    await group.write('a', '1');
    expect(group.leader()?.id).toBe(id);
  });

  it('acknowledges no command before a quorum has synced it', async () => {
    const id = await foundGroup(17);
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const slow = 400;
    otherIds(group, id).forEach((each) => {
      (group.disks.get(each) as memoryDisk.MemoryDisk).minSyncMs = slow;
    });
    let acknowledged = false;
    const write = log.propose(registerStateMachine.encodeWrite('a', '1')).then(() => {
      acknowledged = true;
    });
    await group.clock.advance(slow - 1);
    expect(acknowledged).toBe(false);
    await group.advanceUntilSettled(write);
    [...group.running.keys()].forEach((each) => group.crash(each));
    await group.startAll();
    expect(await group.write('a', '2')).toBe('1');
  });

  it('stops a replica whose disk fails a sync, without losing acknowledged writes', async () => {
    const id = await foundGroup(16);
    await group.write('a', '1');
    const { log } = group.running.get(id) as simulatedGroup.ISimulatedReplica;
    const failures: string[] = [];
    log.onFailed((err) => failures.push(err.message));
    const disk = group.disks.get(id) as memoryDisk.MemoryDisk;
    disk.failSyncAfter = disk.counts.syncs;
    const write = outcomeOf(group, log.propose(registerStateMachine.encodeWrite('a', 'x')));
    expect(await write).toBe('CommitUnknownError');
    expect(failures).toHaveLength(1);
    await expect(log.propose(registerStateMachine.encodeWrite('a', 'y'))).rejects.toThrow();
    group.crash(id);
    expect(['1', 'x']).toContain(await group.write('a', '2'));
    await group.start(id);
    await group.converge();
  });
});
