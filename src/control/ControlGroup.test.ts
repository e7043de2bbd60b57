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
/** Longer than the leader's lease. */
const PAUSE_MS = 2500;
const CHANGES = 1000;
const PIPELINED_CHANGES = 25;

function declarationWithShare(share: number): string {
  return sample.SAMPLE_TOML.replace('share = 2', `share = ${share}`);
}

describe('a group of three control processes', () => {
  const clock = new systemClock.SystemClock();
  const service = new postingService.PostingService();
  let group: controlGroup.ControlGroup;
  let client: controlClient.ControlClient;
  let port: number;
  /** Newest version of the configuration, on which the next submission is based. */
  let latestVersion = 0;

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
      apply: { submissionId, baseVersion: latestVersion, text: declarationWithShare(share) },
    };
    const { apply: result } = await by.execute(command);
    return result;
  }

  /** Submits `count` consecutive changes without awaiting each answer; resolves with the newest version. */
  async function applyPipelined(name: string, count: number): Promise<number> {
    const results = await Promise.all(
      Array.from({ length: count }, (_, at) => {
        const text = declarationWithShare(1 + ((latestVersion + at) % 50));
        const submission = { submissionId: `${name}-${at}`, baseVersion: latestVersion + at, text };
        return client.execute({ apply: submission });
      }),
    );
    return Math.max(...results.map(({ apply: result }) => result?.version ?? 0));
  }

  it('accepts exactly one of two submissions on the same version and names the winner to the other', async () => {
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
    latestVersion = 1;
  });

  it('answers a resent submission identically after four lost answers', async () => {
    for (let lost = 0; lost < 4; lost += 1) {
      const aborted = new AbortController();
      const pending = client
        .execute(
          {
            apply: {
              submissionId: 'again',
              baseVersion: latestVersion,
              text: declarationWithShare(5),
            },
          },
          { signal: aborted.signal },
        )
        .catch(() => {});
      await clock.sleep(lost * 3);
      aborted.abort();
      await pending;
    }
    expect(await apply(client, 'again', 5)).toMatchObject({
      accepted: true,
      version: 2,
    });
    const { history } = await client.query({ history: { limit: 10 } });
    expect(history?.versions.map(({ version }) => version)).toEqual([2, 1]);
    latestVersion = 2;
  });

  it('a leader resumed after a stop acknowledges nothing stale and does not disturb the new leader', async () => {
    const old = await group.leader();
    const alone = new controlClient.ControlClient({ addresses: [old.address] }, clock);
    await group.signal(old, 'SIGSTOP');
    await clock.sleep(PAUSE_MS);
    expect(await apply(client, 'while-stopped', 6)).toMatchObject({
      accepted: true,
      version: 3,
    });
    latestVersion = 3;
    const before = (await client.query({ status: {} })).status?.term;
    const stale = alone
      .execute(
        { apply: { submissionId: 'stale', baseVersion: 2, text: declarationWithShare(9) } },
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

  it('reports not-run only when nothing ran, and runs the resend once', async () => {
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

  it('updates an entry to the latest of a thousand changes, also after a restart of the group', async () => {
    const logService = new recordingLog.RecordingLogService();
    const options = {
      name: 'entry-1',
      zone: 'zone-a',
      control: { addresses: group.addresses },
    };
    const watching = new controlServices.ControlServices(options, clock, logService);
    const versions: number[] = [];
    watching.configuration.onChange(({ version }) => versions.push(version));
    const last = latestVersion + CHANGES;
    for (let round = 0; latestVersion < last; round += 1) {
      latestVersion = await applyPipelined(
        `round-${round}`,
        Math.min(PIPELINED_CHANGES, last - latestVersion),
      );
    }
    await Promise.all(group.members.map((member) => group.signal(member, 'SIGKILL')));
    group.members.forEach((member) => group.startMember(member));
    await group.leader();
    const { configuration } = await client.query({
      configuration: { version: 0 },
    });
    expect(configuration?.version).toBe(latestVersion);
    const late = new controlServices.ControlServices(options, clock, logService);
    for (let waited = 0; waited < 100 && !late.configuration.ready; waited += 1) {
      await clock.sleep(50);
    }
    expect(late.configuration.current?.version).toBe(latestVersion);
    expect(versions.at(-1)).toBe(latestVersion);
    expect([...versions].sort((a, b) => a - b)).toEqual(versions);
    [watching, late].forEach((each) => each.dispose());
  });
});
