import * as net from 'node:net';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as entryHarness from '../testing/EntryHarness.js';

const SEED = 31_203;
const RUNS = 150;
const CLOSE_TIMEOUT_MS = 20_000;

/** Sends raw bytes over one connection and resolves with everything received until the server closes it. */
function sendRaw(url: string, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(Number(new URL(url).port), '127.0.0.1');
    const chunks: Buffer[] = [];
    socket.setTimeout(CLOSE_TIMEOUT_MS, () => {
      socket.destroy();
      reject(new Error(`the server did not close the connection after ${JSON.stringify(bytes)}`));
    });
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', () => {});
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
    socket.write(bytes, 'latin1');
  });
}

const METHODS = ['GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'OPTIONS', 'PATCH', 'BREW'] as const;
const PATHS = [
  '/v1/pipelines/summary',
  '/v1/pipelines/%zz',
  '/v1/chat/completions',
  '/v1/embeddings',
  '/v1/services/register/postings',
  '/v1/services/register/accounts/1/balance',
  '/v1/services/register/accounts//balance',
  '/healthz',
  '/',
  '*',
  '//v1',
] as const;
const HEADERS = ['X-Request-Id', 'X-Deadline-Ms', 'Idempotency-Key', 'Content-Type'] as const;

const header = fastCheck
  .tuple(
    fastCheck.constantFrom(...HEADERS),
    fastCheck.oneof(fastCheck.string({ maxLength: 40 }), fastCheck.constantFrom('1', '-1', '50')),
  )
  .map(([name, value]) => `${name}: ${value.replace(/[\r\n]/g, ' ')}`);

const body = fastCheck.oneof(
  fastCheck.json({ maxDepth: 3 }),
  fastCheck.string({ maxLength: 60 }),
  fastCheck
    .record({
      model: fastCheck.constantFrom('summary', 'x', ''),
      messages: fastCheck.array(
        fastCheck.record({ role: fastCheck.string(), content: fastCheck.string() }),
      ),
      input: fastCheck.oneof(fastCheck.string(), fastCheck.integer()),
      account: fastCheck.oneof(fastCheck.string(), fastCheck.constant(null)),
      document: fastCheck.integer(),
      stream: fastCheck.oneof(fastCheck.boolean(), fastCheck.string({ maxLength: 3 })),
    })
    .map((value) => JSON.stringify(value)),
);

vitest.describe('caller interface under random input', () => {
  let harness: entryHarness.EntryHarness;

  vitest.beforeAll(async () => {
    harness = new entryHarness.EntryHarness();
    await harness.start();
  });

  vitest.afterAll(() => harness.dispose());

  vitest.it('answers every random request without status 500 and keeps serving', async () => {
    const request = fastCheck.record({
      method: fastCheck.constantFrom(...METHODS),
      path: fastCheck.constantFrom(...PATHS),
      headers: fastCheck.array(header, { maxLength: 4 }),
      body,
      authorized: fastCheck.boolean(),
      lengthError: fastCheck.constantFrom(0, 0, 0, 0, -1),
    });
    await fastCheck.assert(
      fastCheck.asyncProperty(request, async (sample) => {
        const bytes = Buffer.from(sample.body, 'utf8');
        const length = Math.max(0, bytes.length + sample.lengthError);
        const key = sample.authorized ? harness.key.text : 'nonsense';
        const head = [
          `${sample.method} ${sample.path} HTTP/1.1`,
          'Host: entry',
          'Connection: close',
          `Authorization: Bearer ${key}`,
          `Content-Length: ${length}`,
          ...sample.headers,
        ];
        const answer = await sendRaw(
          harness.url,
          `${head.join('\r\n')}\r\n\r\n${bytes.toString('latin1')}`,
        );
        vitest.expect(answer).toMatch(/^HTTP\/1\.1 (?!500)\d{3} /);
      }),
      { seed: SEED, numRuns: RUNS },
    );
    const res = await harness.post('/v1/pipelines/summary', { input: 'still here' });
    vitest.expect(res.status).toBe(200);
    vitest.expect(harness.log.events.filter((event) => event.level === 'error')).toEqual([]);
  });

  vitest.it('serves the next request on a connection whose request was rejected', async () => {
    const bad = '{"input":';
    const request = (text: string, connection: string) =>
      `POST /v1/pipelines/summary HTTP/1.1\r\nHost: e\r\nConnection: ${connection}\r\n` +
      `Authorization: Bearer ${harness.key.text}\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
    const good = '{"input":"after"}';
    const answer = await sendRaw(harness.url, request(bad, 'keep-alive') + request(good, 'close'));
    vitest.expect(answer.match(/HTTP\/1\.1 \d{3}/g)).toEqual(['HTTP/1.1 400', 'HTTP/1.1 200']);
  });
});
