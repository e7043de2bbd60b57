import * as vitest from 'vitest';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as systemClock from '../common/SystemClock.js';
import * as sample from '../config/testing/SampleDeclaration.js';
import * as controlServices from '../entry/services/ControlServices.js';
import * as controlClient from './client/ControlClient.js';
import * as controlGroup from './testing/ControlGroup.js';
import * as postingCaller from './testing/PostingCaller.js';
import * as postingService from './testing/PostingService.js';

const { afterAll, beforeAll, describe, expect, it } = vitest;
const LONGER_THAN_LEASE_MS = 2500;
const CHANGES = 1000;
const IN_ROW = 25;

function textOf(share: number): string {
  return sample.SAMPLE_TOML.replace('share = 2', `share = ${share}`);
}

describe('a group of three control processes', () => {
  const clock = new systemClock.SystemClock();
  const service = new postingService.PostingService();
  let group: controlGroup.ControlGroup;
  let client: controlClient.ControlClient;
  let port: number;
  let base = 0;

  beforeAll(async () => {
    port = await service.start();
    group = await controlGroup.ControlGroup.start(3, clock);
    client = new controlClient.ControlClient({ addresses: group.addresses }, clock);
  });

  afterAll(() => {
    client?.dispose();
    group?.dispose();
    service.dispose();
  });

  async function apply(by: controlClient.ControlClient, submissionId: string, share: number) {
    const command = {
      apply: { submissionId, baseVersion: base, text: textOf(share) },
    };
    const { apply: result } = await by.execute(command);
    return result;
  }

  /** Submits changes on top of each other without waiting; resolves with the newest version. */
  async function applyInRow(name: string, count: number): Promise<number> {
    const results = await Promise.all(
      Array.from({ length: count }, (_, at) => {
        const text = textOf(1 + ((base + at) % 50));
        const submission = { submissionId: `${name}-${at}`, baseVersion: base + at, text };
        return client.execute({ apply: submission });
      }),
    );
    return Math.max(...results.map(({ apply: result }) => result?.version ?? 0));
  }

  it('accepts exactly one of two submissions on one base and tells the other who won', async () => {
    const other = new controlClient.ControlClient({ addresses: group.addresses }, clock);
    const results = await Promise.all([apply(client, 'ann-1', 3), apply(other, 'bo-1', 4)]);
    expect(results.filter((result) => result?.accepted).length).toBe(1);
    const [won, lost] = results[0]?.accepted ? ['ann-1', results[1]] : ['bo-1', results[0]];
    expect(lost).toMatchObject({
      accepted: false,
      version: 1,
      winnerSubmission: won,
    });
    other.dispose();
    base = 1;
  });

  it('gives the same submission the same answer, its answers lost four times', async () => {
    for (let lost = 0; lost < 4; lost += 1) {
      const cut = new AbortController();
      const pending = client
        .execute(
          {
            apply: {
              submissionId: 'again',
              baseVersion: base,
              text: textOf(5),
            },
          },
          { signal: cut.signal },
        )
        .catch(() => {});
      await clock.sleep(lost * 3);
      cut.abort();
      await pending;
    }
    expect(await apply(client, 'again', 5)).toMatchObject({
      accepted: true,
      version: 2,
    });
    const { history } = await client.query({ history: { limit: 10 } });
    expect(history?.versions.map(({ version }) => version)).toEqual([2, 1]);
    base = 2;
  });

  it('lets a stopped leader acknowledge nothing stale and disturb no one', async () => {
    const old = await group.leader();
    const alone = new controlClient.ControlClient({ addresses: [old.address] }, clock);
    await group.signal(old, 'SIGSTOP');
    await clock.sleep(LONGER_THAN_LEASE_MS);
    expect(await apply(client, 'while-stopped', 6)).toMatchObject({
      accepted: true,
      version: 3,
    });
    base = 3;
    const before = (await client.query({ status: {} })).status?.term;
    const stale = alone
      .execute(
        { apply: { submissionId: 'stale', baseVersion: 2, text: textOf(9) } },
        { timeout: 1500 },
      )
      .then(
        ({ apply: result }) => result?.accepted ?? false,
        () => false,
      );
    const read = alone.query({ configuration: { version: 0 } }, { timeout: 1500 }).then(
      ({ configuration }) => configuration?.version,
      () => undefined,
    );
    await group.signal(old, 'SIGCONT');
    expect(await stale).toBe(false);
    expect([undefined, 3]).toContain(await read);
    const leader = await group.leader();
    expect(leader.id).not.toBe(old.id);
    expect((await client.query({ status: {} })).status?.term).toBe(before);
    expect(service.duplicatedKeys).toEqual([]);
    alone.dispose();
  });

  it('promises not-run only when nothing ran, and runs the resend once', async () => {
    const caller = new postingCaller.PostingCaller(group.addresses, port, clock);
    expect((await caller.post('first')).run).toBe('run');
    const [, ...lost] = group.members;
    await Promise.all(lost.map((member) => group.signal(member, 'SIGKILL')));
    const refused = await caller.post('no-quorum');
    expect(refused.run).toBe('not-run');
    expect(service.runCount('no-quorum')).toBe(0);
    lost.forEach((member) => group.startMember(member));
    await group.leader();
    const resent = await caller.post('no-quorum');
    expect(resent).toEqual({ run: 'run', text: 'posted no-quorum' });
    expect(service.runCount('no-quorum')).toBe(1);
    caller.dispose();
  });

  it('brings an entry up to date after a thousand changes, and itself after a restart', async () => {
    const logService = new recordingLog.RecordingLogService();
    const options = {
      name: 'entry-1',
      zone: 'zone-a',
      control: { addresses: group.addresses },
    };
    const watching = new controlServices.ControlServices(options, clock, logService);
    const versions: number[] = [];
    watching.configuration.onChange(({ version }) => versions.push(version));
    const last = base + CHANGES;
    for (let round = 0; base < last; round += 1) {
      base = await applyInRow(`round-${round}`, Math.min(IN_ROW, last - base));
    }
    await Promise.all(group.members.map((member) => group.signal(member, 'SIGKILL')));
    group.members.forEach((member) => group.startMember(member));
    await group.leader();
    const { configuration } = await client.query({
      configuration: { version: 0 },
    });
    expect(configuration?.version).toBe(base);
    const late = new controlServices.ControlServices(options, clock, logService);
    for (let waited = 0; waited < 100 && !late.configuration.ready; waited += 1) {
      await clock.sleep(50);
    }
    expect(late.configuration.current?.version).toBe(base);
    expect(versions.at(-1)).toBe(base);
    expect([...versions].sort((a, b) => a - b)).toEqual(versions);
    [watching, late].forEach((each) => each.dispose());
  });
});
