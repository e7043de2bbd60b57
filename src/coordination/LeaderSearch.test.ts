import * as grpc from '@grpc/grpc-js';
import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as systemClock from '../common/SystemClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as feedClient from './FeedClient.js';
import * as feedCodec from './FeedCodec.js';
import type * as sessionStream from './SessionStream.js';
import type * as types from './Types.js';

const { afterEach, describe, expect, test } = vitest;

const CONTROL_VMS = 6;
const OBSERVED_S = 4;
/**
 * Connections of one entry VM to one control VM in a second: 206 entry VMs, 2 ms of processor time a connection, and
 * half of a core for all of them.
 */
const MAX_CONNECTIONS_PER_S = 0.5 / (206 * 0.002);
const MAX_CONNECTIONS = Math.ceil(MAX_CONNECTIONS_PER_S * OBSERVED_S);

const clock = new systemClock.SystemClock();
const disposables: { dispose(): void }[] = [];

/** A control VM that answers each new stream with one state message, or not at all, and counts the streams. */
class FakeControlVm {
  address = '';

  streamCount = 0;

  /** The answer to a new stream; undefined for none. */
  state: (() => Partial<types.DownMessage & { kind: 'state' }>) | undefined;

  private readonly server = new grpc.Server();

  constructor() {
    this.server.addService(feedCodec.FEED_SERVICE, {
      open: (stream: sessionStream.ServerStream) => this.serve(stream),
    });
  }

  async listen(): Promise<void> {
    const port = await new Promise<number>((resolve, reject) => {
      this.server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (err, bound) =>
        err === null ? resolve(bound) : reject(err),
      );
    });
    this.address = `127.0.0.1:${port}`;
  }

  dispose(): void {
    this.server.forceShutdown();
  }

  private serve(stream: sessionStream.ServerStream): void {
    this.streamCount += 1;
    stream.on('error', () => {});
    stream.on('end', () => stream.end());
    stream.on('data', ({ kind }: types.UpMessage) => {
      if (this.state !== undefined && (kind === 'hello' || kind === 'probe')) {
        const base = {
          kind: 'state',
          leads: false,
          confirmed: false,
          term: 1,
          entries: 1,
        } as const;
        const state = { ...base, wantsEndpoints: false, members: [], ...this.state() };
        stream.write(feedCodec.encode(state));
      }
      if (kind === 'probe') {
        stream.end();
      }
    });
  }
}

async function startControlVms(): Promise<readonly FakeControlVm[]> {
  const vms = Array.from({ length: CONTROL_VMS }, () => new FakeControlVm());
  disposables.push(...vms);
  await Promise.all(vms.map((vm) => vm.listen()));
  const members = vms.map(({ address }) => address);
  vms.forEach((vm) => {
    Object.assign(vm, { state: () => ({ members }) });
  });
  return vms;
}

function startClient(vms: readonly FakeControlVm[]): feedClient.FeedClient {
  const client = new feedClient.FeedClient({
    clock,
    random: new seededRandom.SeededRandom(3),
    logService: new recordingLog.RecordingLogService(),
    metrics: new recordingMetrics.RecordingMetricsService(),
    seeds: () => vms.slice(0, 3).map(({ address }) => address),
    vm: 'a',
    endpoints: () => ({ revision: 1, endpoints: [] }),
  });
  disposables.push(client);
  client.start();
  return client;
}

async function until(check: () => boolean): Promise<void> {
  while (!check()) {
    await clock.sleep(10);
  }
}

async function countConnections(vms: readonly FakeControlVm[]): Promise<readonly number[]> {
  const before = vms.map(({ streamCount }) => streamCount);
  await clock.sleep(OBSERVED_S * 1000);
  return vms.map(({ streamCount }, at) => streamCount - (before[at] as number));
}

afterEach(() => {
  disposables.splice(0).forEach((each) => each.dispose());
});

describe('an entry VM without a coordinator', () => {
  test('does not overload the control VMs with connections while none leads', async () => {
    const vms = await startControlVms();
    startClient(vms);
    await until(() => vms.some(({ streamCount }) => streamCount > 0));
    const counts = await countConnections(vms);
    expect(Math.max(...counts)).toBeLessThanOrEqual(MAX_CONNECTIONS);
  });

  test('does not overload the control VMs with connections while its coordinator answers late', async () => {
    const vms = await startControlVms();
    const [leader] = vms as [FakeControlVm];
    const members = vms.map(({ address }) => address);
    leader.state = () => ({ members, leads: true, confirmed: true });
    const client = startClient(vms);
    await until(() => client.isConnected);
    const counts = await countConnections(vms);
    expect(Math.max(...counts)).toBeLessThanOrEqual(MAX_CONNECTIONS);
  });

  test('does not overload the control VMs with connections while they do not answer', async () => {
    const vms = await startControlVms();
    vms.forEach((vm) => {
      Object.assign(vm, { state: undefined });
    });
    startClient(vms);
    await until(() => vms.some(({ streamCount }) => streamCount > 0));
    const counts = await countConnections(vms);
    expect(Math.max(...counts)).toBeLessThanOrEqual(MAX_CONNECTIONS);
  });

  test('finds the successor that a follower names', async () => {
    const vms = await startControlVms();
    const [former, successor] = vms as [FakeControlVm, FakeControlVm];
    const members = vms.map(({ address }) => address);
    former.state = () => ({ members, leads: true, confirmed: true });
    const client = startClient(vms);
    await until(() => client.isConnected);
    former.dispose();
    vms.slice(2).forEach((vm) => {
      Object.assign(vm, { state: () => ({ members, leader: successor.address }) });
    });
    successor.state = () => ({ members, leads: true, confirmed: true });
    await until(() => !client.isConnected);
    await until(() => client.isConnected);
    expect(successor.streamCount).toBeGreaterThan(0);
  });
});
