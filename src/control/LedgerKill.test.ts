import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';
import * as vitest from 'vitest';
import * as systemClock from '../common/SystemClock.js';
import * as controlClient from './client/ControlClient.js';
import * as controlGroup from './testing/ControlGroup.js';
import * as gates from './testing/Gate.js';
import * as postingCaller from './testing/PostingCaller.js';
import * as postingService from './testing/PostingService.js';

const { afterAll, beforeAll, describe, expect, it } = vitest;

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
const CALLER_PROGRAM = path.join(ROOT, 'dist/src/control/testing/PostingProcess.js');
/** After this time the lease of a killed entry has expired. */
const LEASE_EXPIRY_MS = 6000;

/** Points at which a message is in flight, each with the point before it where the caller waits. */
const STOP_BEFORE: ReadonlyMap<postingCaller.CallPoint, postingCaller.CallPoint> = new Map([
  ['begin-sent', 'before-begin'],
  ['finish-sent', 'answered'],
]);

describe('the ledger when processes are killed with SIGKILL', () => {
  const clock = new systemClock.SystemClock();
  const service = new postingService.PostingService();
  let group: controlGroup.ControlGroup;
  let port: number;

  beforeAll(async () => {
    port = await service.start();
    group = await controlGroup.ControlGroup.start(3, clock);
  });

  afterAll(() => {
    group?.dispose();
    service.dispose();
  });

  /** Stops one call at each point, then kills a replica while all of them are open. */
  async function postDuringKill(role: 'leader' | 'follower'): Promise<void> {
    const leader = await group.leader();
    const victim = role === 'leader' ? leader : group.members.find((member) => member !== leader);
    const atKill = new gates.Gate();
    const afterKill = new gates.Gate();
    const reached = postingCaller.CALL_POINTS.map(() => new gates.Gate());
    const callers = postingCaller.CALL_POINTS.map((point, at) => {
      // A message that must be in flight during the kill is released just before it.
      const stop = STOP_BEFORE.get(point) ?? point;
      const gate = STOP_BEFORE.has(point) ? atKill : afterKill;
      return new postingCaller.PostingCaller(group.addresses, port, clock, (now) => {
        if (now !== stop) {
          return Promise.resolve();
        }
        reached[at]?.open();
        return gate.opened;
      });
    });
    const keyOf = (point: string): string => `${role}-${point}`;
    const ends = postingCaller.CALL_POINTS.map((point, at) => callers[at]?.post(keyOf(point)));
    await Promise.all(reached.map((arrival) => arrival.opened));
    atKill.open();
    await group.signal(victim ?? leader, 'SIGKILL');
    afterKill.open();
    const expected = postingCaller.CALL_POINTS.map((point) => ({
      run: 'run',
      text: `posted ${keyOf(point)}`,
    }));
    expect(await Promise.all(ends)).toEqual(expected);
    group.startMember(victim ?? leader);
    const resender = new postingCaller.PostingCaller(group.addresses, port, clock);
    const resent = postingCaller.CALL_POINTS.map((point) => resender.post(keyOf(point)));
    expect(await Promise.all(resent)).toEqual(expected);
    expect(postingCaller.CALL_POINTS.map((point) => service.runCount(keyOf(point)))).toEqual(
      postingCaller.CALL_POINTS.map(() => 1),
    );
    await Promise.all(callers.map((caller) => caller.drain()));
    [resender, ...callers].forEach((caller) => caller.dispose());
  }

  it('answers each call and runs it once when the leader is killed during the call', () =>
    postDuringKill('leader'));

  it('answers each call and runs it once when a follower is killed during the call', () =>
    postDuringKill('follower'));

  function killedCaller(point: postingCaller.CallPoint): Promise<NodeJS.Signals | null> {
    const args = [CALLER_PROGRAM, group.addresses.join(','), `${port}`, `entry-${point}`, point];
    const child = childProcess.spawn(process.execPath, args, { stdio: 'ignore' });
    return new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve(signal));
    });
  }

  it('never reruns the call of a killed entry, and reports its outcome as far as it is recorded', async () => {
    const signals = await Promise.all(postingCaller.CALL_POINTS.map(killedCaller));
    expect(new Set(signals)).toEqual(new Set(['SIGKILL']));
    const counts = new Map(
      postingCaller.CALL_POINTS.map((point) => [point, service.runCount(`entry-${point}`)]),
    );
    const caller = new postingCaller.PostingCaller(group.addresses, port, clock);
    await clock.sleep(LEASE_EXPIRY_MS);
    const post = (point: string) => caller.post(`entry-${point}`);
    const ends = new Map(
      await Promise.all(
        postingCaller.CALL_POINTS.map(async (point) => [point, await post(point)] as const),
      ),
    );
    const runs = (point: postingCaller.CallPoint): string | undefined => ends.get(point)?.run;
    expect(runs('before-begin')).toBe('run');
    expect(['granted', 'first-byte', 'answered'].map((point) => runs(point as 'granted'))).toEqual([
      'unknown',
      'unknown',
      'unknown',
    ]);
    expect(runs('finished')).toBe('run');
    expect(counts.get('granted')).toBe(0);
    postingCaller.CALL_POINTS.filter((point) => runs(point) === 'unknown').forEach((point) => {
      // The outcome was reported as unknown, so the resend must not have run the call.
      expect(service.runCount(`entry-${point}`)).toBe(counts.get(point));
    });
    expect(service.duplicatedKeys).toEqual([]);
    caller.dispose();
  });

  it('lets an operator resolve an unknown record, and reports the resolution to resends', async () => {
    const client = new controlClient.ControlClient({ addresses: group.addresses }, clock);
    const { ledger } = await client.query({
      ledgerList: { state: 'unknown', workspace: 'acme', limit: 100 },
    });
    const record = ledger?.records.find(({ key }) => key === 'entry-answered');
    expect(record).toBeDefined();
    const id = record?.id ?? '';
    const tooEarly = { id, ran: false, reason: 'not in the register' };
    await expect(client.execute({ ledgerResolve: tooEarly })).rejects.toThrow('may still write');
    await client.execute({ ledgerResolve: { id, ran: true, reason: 'in the register' } });
    const caller = new postingCaller.PostingCaller(group.addresses, port, clock);
    const end = await caller.post('entry-answered');
    expect(end.run).toBe('run');
    expect(end.text).toContain('resolved_by_operator');
    const { audit } = await client.query({ audit: { limit: 1 } });
    expect(audit?.entries[0]).toMatchObject({ subject: id, reason: 'in the register' });
    caller.dispose();
    client.dispose();
  });
});
