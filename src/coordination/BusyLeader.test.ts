import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as systemClock from '../common/SystemClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as feedClient from './FeedClient.js';
import * as fakeControlVm from './testing/FakeControlVm.js';

const { afterEach, describe, expect, test } = vitest;
const CONTROL_VMS = 3;
const STATE_INTERVAL_MS = 250;
/** Time for which a leader accepts nothing; shorter than a VM waits before it plans alone. */
const BUSY_MS = 2000;
/** Longest time in which a VM is to reach a leader that is up. */
const LIMIT_MS = 8000;

const clock = new systemClock.SystemClock();
const disposables: { dispose(): void }[] = [];

type ControlVms = readonly [
  fakeControlVm.FakeControlVm,
  fakeControlVm.FakeControlVm,
  fakeControlVm.FakeControlVm,
];

async function startControlVms(): Promise<ControlVms> {
  const vms = Array.from({ length: CONTROL_VMS }, () => new fakeControlVm.FakeControlVm());
  disposables.push(...vms);
  await Promise.all(vms.map((vm) => vm.listen()));
  const members = vms.map(({ address }) => address);
  vms.forEach((vm) => vm.setState({ members }));
  const timer = setInterval(() => vms.forEach((vm) => vm.setState({})), STATE_INTERVAL_MS);
  disposables.push({ dispose: () => clearInterval(timer) });
  const [former, ...followers] = vms as unknown as ControlVms;
  former.setState({ leads: true, confirmed: true });
  followers.forEach((vm) => vm.setState({ leader: former.address }));
  return vms as unknown as ControlVms;
}

function startClient(vms: ControlVms): feedClient.FeedClient {
  const client = new feedClient.FeedClient({
    clock,
    random: new seededRandom.SeededRandom(3),
    logService: new recordingLog.RecordingLogService(),
    metrics: new recordingMetrics.RecordingMetricsService(),
    seeds: () => vms.map(({ address }) => address),
    vm: 'a',
    endpoints: () => ({ revision: 1, endpoints: [] }),
  });
  disposables.push(client);
  client.start();
  return client;
}

/** Ends the leader; the second control VM is elected and accepts no new connections. */
function elect([former, successor, follower]: ControlVms): void {
  former.dispose();
  successor.setState({ leads: true, confirmed: true, term: 2, leader: successor.address });
  follower.setState({ term: 2, leader: successor.address });
}

async function until(check: () => boolean): Promise<void> {
  while (!check()) {
    await clock.sleep(10);
  }
}

afterEach(() => {
  disposables.splice(0).forEach((each) => each.dispose());
});

describe('an entry VM whose new leader is too busy to accept connections', () => {
  test(
    'reaches it over a connection that is open already',
    async () => {
      const vms = await startControlVms();
      const client = startClient(vms);
      await until(() => client.isConnected);
      await clock.sleep(BUSY_MS);
      vms[1].isBusy = true;
      elect(vms);
      await until(() => !client.isConnected);
      await until(() => client.isConnected);
      expect(client.isConnected).toBe(true);
    },
    LIMIT_MS,
  );

  test(
    'does not give up the connection that waits there while a follower names it',
    async () => {
      const vms = await startControlVms();
      const [, successor] = vms;
      successor.isBusy = true;
      const client = startClient(vms);
      await until(() => client.isConnected);
      elect(vms);
      await until(() => !client.isConnected);
      await clock.sleep(BUSY_MS);
      successor.acceptWaiting(BUSY_MS / 2);
      await until(() => client.isConnected);
      expect(client.isConnected).toBe(true);
    },
    LIMIT_MS,
  );
});
