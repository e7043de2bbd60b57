import * as http from 'node:http';
import type * as net from 'node:net';
import * as vitest from 'vitest';
import * as keepAliveAgent from './KeepAliveAgent.js';

const { expect, test } = vitest;
const REQUESTS = 20;

test('a connection that is used again keeps no listeners of earlier requests', async () => {
  const server = http.createServer((req, res) => {
    res.setHeader('Keep-Alive', 'timeout=5');
    res.end('ok');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const agent = new keepAliveAgent.KeepAliveAgent(1);
  const sockets = new Set<net.Socket>();
  const listeners: number[] = [];
  for (let count = 0; count < REQUESTS; count++) {
    await new Promise<void>((resolve, reject) => {
      const req = http.get({ host: '127.0.0.1', port, agent }, (res) => {
        res.resume();
        res.on('end', resolve);
      });
      req.on('error', reject);
      req.on('socket', (socket) => {
        sockets.add(socket);
        listeners.push(socket.listenerCount('error'));
      });
    });
    // The agent takes the connection back in the next turn of the event loop.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  agent.destroy();
  server.close();
  expect(sockets.size).toBe(1);
  expect(listeners.at(-1)).toBe(listeners[1]);
});
