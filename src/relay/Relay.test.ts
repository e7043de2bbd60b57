import * as net from 'node:net';
import * as vitest from 'vitest';
import * as ampleBudget from '../common/memory/testing/AmpleBudget.js';
import * as seededRandom from '../common/SeededRandom.js';
import * as systemClock from '../common/SystemClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as relayConnector from './RelayConnector.js';
import * as relayServer from './RelayServer.js';
import * as fakeConnector from './testing/FakeConnector.js';

const { afterEach, beforeEach, describe, expect, test } = vitest;
const TIMEOUT_MS = 400;
const BASE_PORT = 18_741;
const clock = new systemClock.SystemClock();
const logService = new recordingLog.RecordingLogService();
const metrics = new recordingMetrics.RecordingMetricsService();

/** One VM with a relay server. */
interface IRelayVm {
  readonly address: string;
  readonly connector: fakeConnector.FakeConnector;
  readonly server: relayServer.RelayServer;
  isPathLost: boolean;
  isZoneOpen: boolean;
}

describe('tunnels through relays', () => {
  let endpoint: net.Server;
  let endpointAddress: string;
  let accepted: net.Socket[];
  let vms: IRelayVm[];
  let connector: relayConnector.RelayConnector;

  function startVm(at: number): IRelayVm {
    const fake = new fakeConnector.FakeConnector(clock);
    const address = `127.0.41.${at + 1}:${BASE_PORT}`;
    const vm: IRelayVm = {
      address,
      connector: fake,
      isPathLost: false,
      isZoneOpen: true,
      server: new relayServer.RelayServer({
        clock,
        connector: fake,
        isEndpoint: (known) => known === endpointAddress,
        isOpen: () => vm.isZoneOpen,
        isPathLost: () => vm.isPathLost,
        memory: ampleBudget.ampleBudget(clock),
        logService,
        metrics,
      }),
    };
    vm.server.listen(address, (err) => expect.fail(err.message));
    return vm;
  }

  function connect(address = endpointAddress): Promise<net.Socket> {
    return connector.connect(address, TIMEOUT_MS);
  }

  /** Resolves with the first bytes that arrive, or how the connection ended. */
  function firstEvent(socket: net.Socket): Promise<string> {
    return new Promise((resolve) => {
      socket.once('data', (bytes: Buffer) => resolve(bytes.toString()));
      socket.once('end', () => resolve('end'));
      socket.once('error', (err) => resolve(err.message));
    });
  }

  beforeEach(async () => {
    accepted = [];
    endpoint = net.createServer((socket) => {
      accepted.push(socket);
      socket.on('error', () => {});
      socket.on('data', (bytes) => socket.write(`echo ${bytes.toString()}`));
    });
    await new Promise<void>((resolve) => {
      endpoint.listen(0, '127.0.0.1', resolve);
    });
    endpointAddress = `127.0.0.1:${(endpoint.address() as net.AddressInfo).port}`;
    vms = [0, 1, 2].map(startVm);
    const random = new seededRandom.SeededRandom(1);
    connector = new relayConnector.RelayConnector({ clock, random, metrics });
    connector.updateRelays(vms.map(({ address }) => address));
  });

  afterEach(() => {
    vms.forEach(({ server }) => server.dispose());
    accepted.forEach((socket) => socket.destroy());
    endpoint.close();
  });

  test('are refused by a VM that knows the zone to be out of service; open ones go on', async () => {
    const socket = await connect();
    vms.forEach((vm) => Object.assign(vm, { isZoneOpen: false }));
    await expect(connect()).rejects.toThrow('503');
    socket.write('x');
    expect(await firstEvent(socket)).toBe('echo x');
    socket.destroy();
  });

  test('pass bytes both ways', async () => {
    const socket = await connect();
    socket.write('hello');
    expect(await firstEvent(socket)).toBe('echo hello');
    socket.destroy();
  });

  test('open through the only VM that has a path', async () => {
    [vms[0], vms[1]].forEach((vm) => Object.assign(vm as IRelayVm, { isPathLost: true }));
    const socket = await connect();
    expect(vms[2]?.connector.requested).toBe(1);
    socket.destroy();
  });

  test('open in time beside VMs whose connections to the endpoint hang', async () => {
    [vms[0], vms[1]].forEach((vm) => Object.assign(vm?.connector ?? {}, { fault: 'hang' }));
    const socket = await connect();
    expect(vms[2]?.connector.requested).toBe(1);
    socket.destroy();
  });

  test('keep to a VM that has opened one', async () => {
    const used = await Promise.all([connect()]);
    const later = [await connect(), await connect(), await connect()];
    const counts = vms.map((vm) => vm.connector.requested);
    expect(counts.filter((count) => count > 0)).toEqual([4]);
    [...used, ...later].forEach((socket) => socket.destroy());
  });

  test('open through another VM after the one that is kept to has ended', async () => {
    const first = await connect();
    const kept = vms.find((vm) => vm.connector.requested > 0);
    kept?.server.dispose();
    first.destroy();
    const second = await connect();
    second.write('hello');
    expect(await firstEvent(second)).toBe('echo hello');
    second.destroy();
  });

  test('fail if the endpoint is gone', async () => {
    endpoint.close();
    await expect(connect()).rejects.toThrow('no relay opened a connection');
  });

  test('fail in time if no VM has a path', async () => {
    vms.forEach((vm) => Object.assign(vm.connector, { fault: 'hang' }));
    const started = clock.monotonic();
    await expect(connect()).rejects.toThrow('no relay opened a connection');
    expect(clock.monotonic() - started).toBeLessThan(2 * TIMEOUT_MS);
  });

  test('lead to endpoints of the list only', async () => {
    await expect(connect('127.0.41.2:1')).rejects.toThrow('status 403');
  });

  test('reset this side when the connection to the endpoint is reset', async () => {
    const socket = await connect();
    socket.write('hello');
    await firstEvent(socket);
    accepted.forEach((upstream) => upstream.resetAndDestroy());
    expect(await firstEvent(socket)).toContain('ECONNRESET');
  });

  test('end this side after all bytes when the endpoint ends the connection', async () => {
    const socket = await connect();
    const size = 3_000_000;
    let received = 0;
    const ended = new Promise<void>((resolve) => {
      socket.on('data', (bytes: Buffer) => {
        received += bytes.length;
      });
      socket.on('end', resolve);
    });
    await vitest.vi.waitUntil(() => accepted.length > 0);
    accepted[0]?.end(Buffer.alloc(size));
    await ended;
    expect(received).toBe(size);
  });

  test('close the connection to the endpoint at once when this side leaves', async () => {
    const socket = await connect();
    await vitest.vi.waitUntil(() => accepted.length > 0);
    const closed = new Promise<void>((resolve) => {
      accepted[0]?.once('close', () => resolve());
    });
    socket.destroy();
    await closed;
    await vitest.vi.waitUntil(() => vms.every((vm) => vm.server.tunnelCount === 0));
  });

  test('are refused by a VM that shuts down, which keeps those in use', async () => {
    const socket = await connect();
    const kept = vms.find((vm) => vm.connector.requested > 0);
    kept?.server.drain();
    socket.write('hello');
    expect(await firstEvent(socket)).toBe('echo hello');
    const second = await connect();
    expect(kept?.connector.requested).toBe(1);
    [socket, second].forEach((open) => open.destroy());
  });
});
