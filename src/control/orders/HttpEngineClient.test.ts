import * as net from 'node:net';
import * as vitest from 'vitest';
import type * as stateTypes from '../state/Types.js';
import * as httpEngineClient from './HttpEngineClient.js';

const { expect, test } = vitest;
const LIMIT_MS = 2000;

test('an order whose engine offers to switch protocols fails rather than hangs', async () => {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () =>
      socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n'),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const order = { address: `127.0.0.1:${port}` } as unknown as stateTypes.Order;
  const client = new httpEngineClient.HttpEngineClient();
  const ended = client.readState(order, AbortSignal.timeout(LIMIT_MS / 4)).then(
    () => 'answered',
    () => 'failed',
  );
  const late = new Promise<string>((resolve) => {
    setTimeout(() => resolve('late'), LIMIT_MS);
  });
  expect(await Promise.race([ended, late])).toBe('failed');
  server.close();
});
