import * as http from 'node:http';
import type * as net from 'node:net';
import * as vitest from 'vitest';
import * as disposableStore from '../common/DisposableStore.js';
import * as systemClock from '../common/SystemClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as silencingProxy from '../common/testing/SilencingProxy.js';
import * as endpointPaths from '../relay/EndpointPaths.js';
import * as fakeConnector from '../relay/testing/FakeConnector.js';
import * as endpointAgents from './EndpointAgents.js';
import * as endpointTransport from './EndpointTransport.js';

const { afterEach, beforeEach, describe, expect, it, vi } = vitest;

const KEPT = 4;
const WAIT = { timeout: 20_000, interval: 20 };
/** Longer than a connection may be idle before a request that must not be repeated. */
const IDLE_MS = 500;

describe('EndpointTransport on connections that go silent', () => {
  const clock = new systemClock.SystemClock();
  let store: disposableStore.DisposableStore;
  let proxy: silencingProxy.SilencingProxy;
  let address: string;
  let transport: endpointTransport.EndpointTransport;
  /** Responses that wait for the others, so that each has a connection of its own. */
  let waiting: http.ServerResponse[];

  beforeEach(async () => {
    store = new disposableStore.DisposableStore();
    waiting = [];
    const server = http.createServer((req, res) => {
      res.setHeader('Keep-Alive', 'timeout=60');
      if (req.url === '/together') {
        waiting.push(res);
        waiting.slice(KEPT - 1).forEach(() => waiting.forEach((each) => each.end('ok')));
      } else {
        res.end('ok');
      }
    });
    server.keepAliveTimeout = 60_000;
    store.add({ dispose: () => server.close() });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    proxy = store.add(new silencingProxy.SilencingProxy());
    proxy.target = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    address = await proxy.listen();
    const direct = new fakeConnector.FakeConnector(clock);
    const relays = new fakeConnector.FakeConnector(clock);
    relays.isAvailable = false;
    const metrics = new recordingMetrics.RecordingMetricsService();
    const paths = new endpointPaths.EndpointPaths({
      clock,
      direct,
      relays,
      logService: new recordingLog.RecordingLogService(),
      metrics,
    });
    const agents = new endpointAgents.EndpointAgents(clock, direct);
    transport = store.add(new endpointTransport.EndpointTransport(clock, agents, paths, metrics));
  });

  afterEach(() => store.dispose());

  function start(path: string, isRepeatable = true): endpointTransport.IExchange {
    return transport.start({
      address,
      isEndpoint: true,
      maxConnections: Infinity,
      options: { method: 'GET', path },
      body: undefined,
      isRepeatable,
    });
  }

  async function read({ response }: endpointTransport.IExchange): Promise<void> {
    const { res } = await response;
    res.resume();
    await new Promise((resolve) => {
      res.once('end', resolve);
    });
  }

  async function openConnections(): Promise<void> {
    await Promise.all(Array.from({ length: KEPT }, () => read(start('/together'))));
    expect(proxy.openCount).toBe(KEPT);
  }

  it('loses no further request to idle connections once one of them is silent', async () => {
    await openConnections();
    proxy.silence();
    const lost = start('/');
    lost.response.catch(() => {});
    await vi.waitFor(() => expect(proxy.openCount).toBe(1), WAIT);
    await read(start('/'));
    lost.cancel();
  });

  it('keeps the connection that replaces them while the silent one is open', async () => {
    await openConnections();
    proxy.silence();
    const lost = start('/');
    lost.response.catch(() => {});
    await vi.waitFor(() => expect(proxy.openCount).toBe(1), WAIT);
    await read(start('/'));
    await read(start('/'));
    expect(proxy.acceptedCount).toBe(KEPT + 1);
    lost.cancel();
  });

  it('sends a request that must not be repeated on no connection that was idle for long', async () => {
    await openConnections();
    await clock.sleep(IDLE_MS);
    proxy.silence();
    await read(start('/', false));
    expect(proxy.acceptedCount).toBe(KEPT + 1);
  });

  it('sends a request that must not be repeated on a connection that was used lately', async () => {
    await read(start('/', false));
    await read(start('/', false));
    expect(proxy.acceptedCount).toBe(1);
  });
});
