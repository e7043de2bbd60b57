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

/** Starts a server that answers the n-th request after `delays[n]` ms, and announces an idle timeout of 1 s. */
async function startServer(delays: number[]): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    res.setHeader('Keep-Alive', 'timeout=1');
    setTimeout(() => res.end('ok'), delays.shift() ?? 0);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

/** Sends a request and resolves with how it ended. */
function get(server: http.Server, agent: http.Agent, sockets: Set<net.Socket>): Promise<string> {
  const { port } = server.address() as net.AddressInfo;
  return new Promise((resolve) => {
    const req = http.get({ host: '127.0.0.1', port, agent }, (res) => {
      res.resume();
      res.on('end', () => resolve('whole'));
    });
    req.on('socket', (socket) => sockets.add(socket));
    req.on('error', (err) => resolve(err.message));
  });
}

test('the idle timeout ends no request on a connection that is used again, nor one that waited for it', async () => {
  const server = await startServer([0, 1200, 1200]);
  const agent = new keepAliveAgent.KeepAliveAgent(1);
  const sockets = new Set<net.Socket>();
  const ends = [await get(server, agent, sockets)];
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  ends.push(...(await Promise.all([get(server, agent, sockets), get(server, agent, sockets)])));
  expect(ends).toEqual(['whole', 'whole', 'whole']);
  expect(sockets.size).toBe(1);
  const [socket] = [...sockets];
  await new Promise((resolve) => {
    setTimeout(resolve, 800);
  });
  expect(socket?.destroyed).toBe(true);
  agent.destroy();
  server.close();
});

test.each([7, 11, 400])(
  'an idle timeout too large for a timer does not end the process: %i digits',
  async (digits) => {
    const seconds = '9'.repeat(digits);
    const server = http.createServer((req, res) => {
      res.setHeader('Keep-Alive', `timeout=${seconds}`);
      res.end('ok');
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const agent = new keepAliveAgent.KeepAliveAgent(1);
    const sockets = new Set<net.Socket>();
    const warnings: string[] = [];
    const record = ({ name }: Error): number => warnings.push(name);
    process.on('warning', record);
    const ends = [await get(server, agent, sockets)];
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    ends.push(await get(server, agent, sockets));
    process.off('warning', record);
    expect(ends).toEqual(['whole', 'whole']);
    expect(sockets.size).toBe(1);
    expect(warnings).toEqual([]);
    agent.destroy();
    server.close();
  },
);
