import * as net from 'node:net';
import * as vitest from 'vitest';
import * as systemClock from '../../common/SystemClock.js';
import type * as requestScope from '../pipeline/RequestScope.js';
import type * as pipelineTypes from '../pipeline/Types.js';
import * as testCallerServer from '../testing/TestCallerServer.js';
import type * as types from './Types.js';

const { afterEach, expect, test } = vitest;
const { DEADLINE_MS } = testCallerServer;
const BLOCK = Buffer.alloc(1_000_000, 'x');
const clock = new systemClock.SystemClock();
let server: testCallerServer.TestCallerServer | undefined;

afterEach(() => {
  server?.dispose();
  server = undefined;
});

/** Starts a server whose requests are answered by `run` and recorded in `settled`; returns its port. */
async function startServer(
  run: testCallerServer.RunFn,
  settled: (string | undefined)[] = [],
  options: Partial<types.ICallerOptions> = {},
): Promise<number> {
  server = await testCallerServer.TestCallerServer.start(run, settled, options);
  return server.port;
}

/** Resolves once `check` holds or `limit` milliseconds have passed; returns whether it holds. */
async function until(check: () => boolean, limit: number): Promise<boolean> {
  const end = performance.now() + limit;
  while (!check() && performance.now() < end) {
    await clock.sleep(10);
  }
  return check();
}

function post(port: number, rest: string): net.Socket {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write(`POST /v1/pipelines/p HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n${rest}`);
  return socket;
}

async function* endless(): AsyncIterable<Uint8Array> {
  for (;;) {
    yield BLOCK;
    await clock.sleep(1);
  }
}

const stream = (chunks: AsyncIterable<Uint8Array>): pipelineTypes.CallerAnswer =>
  ({
    kind: 'stream',
    status: 200,
    contentType: 'text/event-stream',
    chunks,
  }) as unknown as pipelineTypes.CallerAnswer;

test('a stream past its deadline whose caller does not read does not hold its connection for ever', async () => {
  const settled: (string | undefined)[] = [];
  const port = await startServer(async () => stream(endless()), settled);
  const socket = post(port, 'Content-Length: 2\r\n\r\n{}');
  socket.pause();
  expect(await until(() => settled.length === 1, DEADLINE_MS + 2000)).toBe(true);
  await clock.sleep(2000);
  const count = await server?.countConnections();
  socket.destroy();
  expect(count).toBe(0);
});

test('a request is settled if its caller leaves in the moment in which a chunk arrives', async () => {
  const settled: (string | undefined)[] = [];
  async function* late(scope: requestScope.RequestScope): AsyncIterable<Uint8Array> {
    yield Buffer.from('first');
    // The chunk that was on its way when the caller left.
    await until(() => scope.ctx.signal.aborted, 5000);
    yield Buffer.from('second');
  }
  const port = await startServer(async (scope) => stream(late(scope)), settled);
  const socket = post(port, 'Content-Length: 2\r\n\r\n{}');
  await new Promise((resolve) => {
    socket.once('data', resolve);
  });
  socket.destroy();
  expect(await until(() => settled.length === 1, 2000)).toBe(true);
});

test('half a body is answered 408, not 400', async () => {
  const run = () => Promise.reject(new Error('not reached'));
  const port = await startServer(run, [], { headersTimeout: 200, requestTimeout: 400 });
  const socket = post(port, 'Content-Length: 20\r\n\r\n{}');
  let text = '';
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1');
  });
  await until(() => text !== '', 35_000);
  socket.destroy();
  expect(text).toMatch(/^HTTP\/1.1 408 /);
});

test('bytes behind a request do not end it while it waits for its answer', async () => {
  const port = await startServer(async () => {
    await clock.sleep(300);
    return { kind: 'whole', status: 200, contentType: 'text/plain', body: Buffer.from('whole') };
  });
  const socket = post(port, 'Content-Length: 2\r\n\r\n{}');
  let text = '';
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1');
  });
  await clock.sleep(100);
  socket.write('\0\0\0\0\r\n\r\n');
  await until(() => text.includes('whole'), 1000);
  socket.destroy();
  expect(text).toMatch(/^HTTP\/1.1 200 [^]*whole/);
});

test('a drain does not wait for requests whose connection closed with two of them open', async () => {
  let running = 0;
  const port = await startServer((scope) => {
    running += 1;
    return new Promise((_, reject) => {
      scope.ctx.signal.addEventListener('abort', () => reject(scope.ctx.signal.reason as Error));
    });
  });
  const socket = post(port, 'Content-Length: 2\r\n\r\n{}');
  socket.write('POST /v1/pipelines/p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}');
  expect(await until(() => running === 2, 2000)).toBe(true);
  socket.destroy();
  let isDrained = false;
  void server?.server.drain().then(() => {
    isDrained = true;
  });
  expect(await until(() => isDrained, DEADLINE_MS + 2000)).toBe(true);
});

test('does not run a request behind the refusal of half a body', async () => {
  let running = 0;
  const whole = { kind: 'whole', status: 200, contentType: 'text/plain', body: BLOCK } as const;
  const port = await startServer(
    async () => {
      running += 1;
      return whole;
    },
    [],
    { headersTimeout: 200, requestTimeout: 400 },
  );
  const socket = post(port, 'Content-Length: 4\r\n\r\n{}');
  let text = '';
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1');
    socket.write('{}POST /v1/pipelines/p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}');
  });
  await until(() => text !== '', 35_000);
  await until(() => running > 0, 300);
  socket.destroy();
  expect({ head: text.slice(0, 12), running }).toEqual({ head: 'HTTP/1.1 408', running: 0 });
});
