import * as net from 'node:net';
import * as vitest from 'vitest';
import * as systemClock from '../common/SystemClock.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as endpointPaths from './EndpointPaths.js';
import * as fakeConnector from './testing/FakeConnector.js';

const { afterEach, beforeEach, describe, expect, test } = vitest;
/** Longer than the result of a check holds. */
const CHECK_LIFETIME_MS = 600;
/** Longer than the interval between attempts to reach an endpoint directly again. */
const RETRY_MS = 1100;
/** Longer than a loss casts doubt on other paths. */
const LOSS_LIFETIME_MS = 5100;
const clock = new systemClock.SystemClock();

describe('EndpointPaths', () => {
  let server: net.Server;
  let address: string;
  let direct: fakeConnector.FakeConnector;
  let relays: fakeConnector.FakeConnector;
  let paths: endpointPaths.EndpointPaths;
  let losses: string[];

  beforeEach(async () => {
    server = net.createServer((socket) => socket.on('error', () => {}).resume());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    direct = new fakeConnector.FakeConnector(clock);
    relays = new fakeConnector.FakeConnector(clock);
    paths = new endpointPaths.EndpointPaths({
      clock,
      direct,
      relays,
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    losses = [];
    paths.onLoss((lost) => losses.push(lost));
  });

  afterEach(() => {
    server.close();
  });

  test.each(['refuse', 'hang', 'accept-and-reset'] as const)(
    'a path is lost if only another VM can connect (%s)',
    async (fault) => {
      direct.fault = fault;
      expect(await paths.check(address)).toBe(true);
      expect(paths.nextVia(address)).toBe('relay');
      expect(losses).toEqual([address]);
    },
  );

  test('an endpoint that no VM reaches is gone, and the path to it is not lost', async () => {
    direct.fault = 'refuse';
    relays.fault = 'refuse';
    expect(await paths.check(address)).toBe(false);
    expect(paths.nextVia(address)).toBe('direct');
    expect(losses).toEqual([]);
  });

  test('an endpoint that is slow to answer but accepts connections keeps its path', async () => {
    expect(await paths.check(address)).toBe(false);
    expect(relays.requested).toBe(0);
  });

  test('a path to a part of the endpoints is lost for these only', async () => {
    expect(await paths.check(address)).toBe(false);
    const other = net.createServer((socket) => socket.on('error', () => {}).resume());
    await new Promise<void>((resolve) => {
      other.listen(0, '127.0.0.1', resolve);
    });
    const otherAddress = `127.0.0.1:${(other.address() as net.AddressInfo).port}`;
    direct.faults.set(otherAddress, 'refuse');
    await paths.check(otherAddress);
    other.close();
    expect(paths.hasLosses).toBe(true);
    expect(paths.nextVia(address)).toBe('direct');
    expect(paths.nextVia(otherAddress)).toBe('relay');
  });

  test('concurrent checks of an address share their connections', async () => {
    direct.fault = 'refuse';
    await Promise.all([paths.check(address), paths.check(address), paths.check(address)]);
    expect(direct.requested).toBe(2);
    expect(relays.requested).toBe(1);
  });

  test('an endpoint that starts again during the check keeps its path', async () => {
    direct.fault = 'refuse';
    vitest.vi.spyOn(relays, 'connect').mockImplementationOnce((to, timeout) => {
      direct.fault = 'none';
      return direct.connect(to, timeout);
    });
    expect(await paths.check(address)).toBe(false);
    expect(losses).toEqual([]);
  });

  test('a path that is back is used again, after a direct connection has shown it', async () => {
    direct.fault = 'refuse';
    await paths.check(address);
    direct.fault = 'none';
    await clock.sleep(RETRY_MS);
    expect(paths.nextVia(address)).toBe('relay');
    await vitest.vi.waitUntil(() => !paths.isLost(address));
    expect(paths.nextVia(address)).toBe('direct');
  });

  test('a lost path to an address that is no longer used casts no doubt on others for long', async () => {
    const manual = new manualClock.ManualClock();
    const later = new endpointPaths.EndpointPaths({
      clock: manual,
      direct,
      relays,
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    direct.fault = 'refuse';
    const check = later.check(address);
    await vitest.vi.waitUntil(() => relays.sockets.length > 0);
    await manual.advance(100);
    expect(await check).toBe(true);
    expect(later.hasLosses).toBe(true);
    await manual.advance(LOSS_LIFETIME_MS);
    expect(later.hasLosses).toBe(false);
    expect(later.isLost(address)).toBe(true);
  });

  test('a path stays lost while neither way shows the endpoint', async () => {
    direct.fault = 'refuse';
    await paths.check(address);
    relays.fault = 'refuse';
    await clock.sleep(CHECK_LIFETIME_MS);
    expect(await paths.check(address)).toBe(true);
  });

  test('nothing is checked without another VM', async () => {
    relays.isAvailable = false;
    direct.fault = 'refuse';
    expect(await paths.check(address)).toBe(false);
    expect(direct.requested).toBe(0);
  });

  test('a silent endpoint is not checked again and again', async () => {
    paths.checkSilent(address);
    await clock.sleep(CHECK_LIFETIME_MS);
    paths.checkSilent(address);
    expect(direct.requested).toBe(1);
  });
});
