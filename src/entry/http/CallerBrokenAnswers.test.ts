import * as vitest from 'vitest';
import * as rawExchange from '../../common/testing/RawExchange.js';
import * as requestError from '../../common/RequestError.js';
import type * as requestScope from '../pipeline/RequestScope.js';
import type * as pipelineTypes from '../pipeline/Types.js';
import * as testCallerServer from '../testing/TestCallerServer.js';

const { afterEach, expect, test } = vitest;
const LIMIT_MS = 3000;
const EVENT = 'data: 12345\n\n';
const LAST = 'data: [DONE]\n\n';
const BLOCK = Buffer.alloc(1_000_000, 'x');

/** Heads of requests by how their caller learns the end of an answer. */
const HEADS: Readonly<Record<string, string>> = {
  'HTTP/1.1': 'HTTP/1.1\r\nHost: a\r\n',
  'HTTP/1.1, close': 'HTTP/1.1\r\nHost: a\r\nConnection: close\r\n',
  'HTTP/1.0': 'HTTP/1.0\r\nHost: a\r\n',
  'HTTP/1.0, keep-alive': 'HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n',
  'HTTP/1.0, TE': 'HTTP/1.0\r\nHost: a\r\nTE: chunked\r\n',
};
const KINDS = Object.keys(HEADS);
const OLD_KINDS = KINDS.filter((kind) => kind.startsWith('HTTP/1.0'));

let server: testCallerServer.TestCallerServer | undefined;
let caller: rawExchange.RawExchange | undefined;
let settled: (string | undefined)[];

afterEach(() => {
  caller?.dispose();
  server?.dispose();
});

type ChunksFn = (scope: requestScope.RequestScope) => AsyncIterable<Uint8Array>;

function requestOf(kind: string): string {
  return `POST /v1/pipelines/p ${HEADS[kind]}Content-Length: 2\r\n\r\n{}`;
}

/** Sends a request whose answer is a stream; resolves when the answer looks whole or its connection has ended. */
async function receive(kind: string, chunks: ChunksFn): Promise<rawExchange.RawExchange> {
  settled = [];
  server = await testCallerServer.TestCallerServer.start(async (scope) => {
    const answer = { kind: 'stream', status: 200, contentType: 'text/event-stream' };
    return { ...answer, chunks: chunks(scope) } as unknown as pipelineTypes.CallerAnswer;
  }, settled);
  caller = new rawExchange.RawExchange(server.port, requestOf(kind));
  await caller.until(({ isWhole, end }) => isWhole || end !== 'open', LIMIT_MS);
  return caller;
}

function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
}

async function* whole(): AsyncIterable<Uint8Array> {
  yield Buffer.from(EVENT);
  await pause();
  yield Buffer.from(LAST);
}

async function* cut(): AsyncIterable<Uint8Array> {
  yield Buffer.from(EVENT);
  await pause();
  throw new requestError.RequestError('stream-cut', 'cut', { run: 'run' });
}

async function* faulty(): AsyncIterable<Uint8Array> {
  yield Buffer.from(EVENT);
  await pause();
  throw new Error('fault');
}

async function* disposed(): AsyncIterable<Uint8Array> {
  yield Buffer.from(EVENT);
  await pause();
  server?.dispose();
  await pause();
}

async function* late({ ctx }: requestScope.RequestScope): AsyncIterable<Uint8Array> {
  yield Buffer.from(EVENT);
  await new Promise((_, reject) => {
    ctx.signal.addEventListener('abort', () => reject(ctx.signal.reason as Error));
  });
}

async function* endless(): AsyncIterable<Uint8Array> {
  for (;;) {
    yield BLOCK;
    await pause();
  }
}

const WAYS: Readonly<Record<string, ChunksFn>> = {
  'an endpoint that fails': cut,
  'an internal error': faulty,
  'the deadline': late,
  'the end of the server': disposed,
};
const CASES = KINDS.flatMap((kind) => Object.keys(WAYS).map((way) => [kind, way] as const));

test.each(CASES)('%s: a stream ended by %s does not look whole', async (kind, way) => {
  const { text, isWhole } = await receive(kind, WAYS[way] as ChunksFn);
  expect({ text, isSuccess: isWhole && text.startsWith('HTTP/1.1 2') }).toEqual({
    text,
    isSuccess: false,
  });
});

test.each(KINDS)('%s: a whole stream can be told from each beginning of it', async (kind) => {
  const { text, isWhole, isWholeIfCut } = await receive(kind, whole);
  expect({ text, isWhole, isWholeIfCut }).toEqual({ text, isWhole: true, isWholeIfCut: false });
});

test.each(OLD_KINDS)('%s: a stream comes with its length, without chunks', async (kind) => {
  const { text } = await receive(kind, whole);
  expect(text).toMatch(/^HTTP\/1.1 200 [^]*\r\ncontent-length: 27\r\n/);
  expect(text.endsWith(`\r\n\r\n${EVENT}${LAST}`)).toBe(true);
  expect(text).not.toMatch(/transfer-encoding/i);
});

test.each([
  ['an endpoint that fails', '502 [^]*stream-cut'],
  ['an internal error', '500 [^]*internal'],
  ['the deadline', '504 [^]*deadline-exceeded'],
])('HTTP/1.0: a stream ended by %s becomes an error', async (way, error) => {
  const { text, isWhole } = await receive('HTTP/1.0', WAYS[way] as ChunksFn);
  expect(text).toMatch(new RegExp(`^HTTP/1.1 ${error}`));
  expect({ isWhole, hasEvent: text.includes(EVENT), settled: settled.length }).toEqual({
    isWhole: true,
    hasEvent: false,
    settled: 1,
  });
});

test('HTTP/1.0: a stream that is too long to be held becomes an error', async () => {
  const { text } = await receive('HTTP/1.0', endless);
  expect(text.slice(0, 1000)).toMatch(/^HTTP\/1.1 502 [^]*stream-cut/);
  expect(settled).toHaveLength(1);
});

test.each(KINDS)('%s: a reset by its caller ends a stream, and nothing else', async (kind) => {
  const received = receive(kind, endless);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  caller?.socket.resetAndDestroy();
  await received;
  await caller?.until(() => settled.length > 0, LIMIT_MS);
  expect(settled).toHaveLength(1);
});

test.each(KINDS)('%s: the answer to a health check has its length', async (kind) => {
  server = await testCallerServer.TestCallerServer.start(() => Promise.reject(new Error('none')));
  caller = new rawExchange.RawExchange(server.port, `GET /healthz ${HEADS[kind]}\r\n`);
  await caller.until(({ isWhole, end }) => isWhole || end !== 'open', LIMIT_MS);
  const { text, isWhole, isWholeIfCut } = caller;
  expect(text).toMatch(/^HTTP\/1.1 200 [^]*\r\ncontent-length: \d+\r\n/);
  expect({ isWhole, isWholeIfCut }).toEqual({ isWhole: true, isWholeIfCut: false });
});
