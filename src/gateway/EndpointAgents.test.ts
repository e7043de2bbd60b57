import * as http from 'node:http';
import type * as net from 'node:net';
import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as directConnector from '../relay/DirectConnector.js';
import * as endpointAgents from './EndpointAgents.js';

const { expect, test } = vitest;
const LONGER_THAN_UNUSED_MS = 61_000;

test('an agent on whose connection a request runs is not destroyed as unused', async () => {
  const clock = new manualClock.ManualClock();
  let finish = (): void => {};
  const begun = new Promise<void>((resolve) => {
    finish = resolve;
  });
  let waiting: http.ServerResponse | undefined;
  const server = http.createServer((req, res) => {
    waiting = res;
    finish();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const agents = new endpointAgents.EndpointAgents(
    clock,
    new directConnector.DirectConnector(clock),
  );
  const outcome = new Promise<string>((resolve) => {
    const agent = agents.agentFor(`127.0.0.1:${port}`, 1);
    const req = http.get({ host: '127.0.0.1', port, agent }, (res) => {
      res.resume();
      res.on('end', () => resolve('whole'));
    });
    req.on('error', (err) => resolve(err.message));
  });
  await begun;
  await clock.advance(LONGER_THAN_UNUSED_MS);
  // A call to any other endpoint sweeps.
  agents.agentFor('127.0.0.1:1', 1);
  waiting?.end('ok');
  const ended = await outcome;
  agents.dispose();
  server.close();
  expect(ended).toBe('whole');
});
