import type * as http from 'node:http';
import type * as net from 'node:net';
import * as vitest from 'vitest';
import * as rawExchange from '../testing/RawExchange.js';
import * as metricsRegistry from './MetricsRegistry.js';
import * as metricsServer from './MetricsServer.js';

const { expect, test } = vitest;

test.each(['HTTP/1.0', 'HTTP/1.1'])(
  'a page of metrics can be told from each beginning of it with %s',
  async (version) => {
    const registry = new metricsRegistry.MetricsRegistry();
    registry.count('requests', { route: 'r\u{e9}' });
    const server = new metricsServer.MetricsServer(registry, () => {});
    const { server: listening } = server as unknown as { server: http.Server };
    await new Promise<void>((resolve, reject) => {
      listening.once('listening', resolve);
      server.listen('127.0.0.1', 0, reject);
    });
    const { port } = listening.address() as net.AddressInfo;
    const exchange = new rawExchange.RawExchange(
      port,
      `GET /metrics ${version}\r\nHost: a\r\n\r\n`,
    );
    await exchange.until(({ isWhole, end }) => isWhole || end !== 'open', 3000);
    exchange.dispose();
    server.dispose();
    const { text, isWhole, isWholeIfCut } = exchange;
    expect(text).toContain('requests');
    expect({ text, isWhole, isWholeIfCut }).toEqual({ text, isWhole: true, isWholeIfCut: false });
  },
);
