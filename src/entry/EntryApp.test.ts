import * as openai from 'openai';
import * as vitest from 'vitest';
import * as entryHarness from './testing/EntryHarness.js';

interface IErrorBody {
  readonly error: { readonly code: string; readonly run: string; readonly request_id: string };
}

vitest.describe('EntryApp', () => {
  let harness: entryHarness.EntryHarness;

  vitest.beforeEach(async () => {
    harness = new entryHarness.EntryHarness();
    await harness.start();
  });

  vitest.afterEach(() => harness.dispose());

  const client = () =>
    new openai.OpenAI({ baseURL: `${harness.url}/v1`, apiKey: harness.key.text, maxRetries: 0 });

  vitest.it('answers a pipeline with four kinds of stage', async () => {
    const res = await harness.post('/v1/pipelines/summary', { input: 'shares of member 12' });
    vitest.expect(res.status).toBe(200);
    vitest.expect(res.headers.get('x-anvildeck-run')).toBe('run');
    vitest.expect(res.headers.get('x-anvildeck-config')).toBe('1');
    const body = (await res.json()) as { output: { text: string; documents: unknown[] } };
    vitest.expect(body.output.text).not.toBe('');
    vitest.expect(body.output.documents.length).toBeGreaterThan(0);
    const stages = harness.accounting.records[0]?.costs.map((cost) => cost.stage);
    vitest.expect(stages).toEqual(['encode', 'retrieve', 'rerank', 'write']);
  });

  vitest.it(
    'serves the openai client: chat with and without streaming, and embeddings',
    async () => {
      const messages = [{ role: 'user' as const, content: 'history of member 7' }];
      const whole = await client().chat.completions.create({ model: 'summary', messages });
      const text = whole.choices[0]?.message.content ?? '';
      vitest.expect(text).not.toBe('');
      const stream = await client().chat.completions.create({
        model: 'summary',
        messages,
        stream: true,
      });
      let streamed = '';
      for await (const chunk of stream) {
        streamed += chunk.choices[0]?.delta.content ?? '';
      }
      vitest.expect(streamed).toBe(text);
      const embedded = await client().embeddings.create({ model: 'summary', input: 'member 7' });
      vitest.expect(embedded.data[0]?.embedding.length).toBeGreaterThan(0);
    },
  );

  vitest.it('runs a posting once when it is sent five times', async () => {
    const posting = { account: 'A-1', document: 77, amount: 100 };
    const attempts = Array.from({ length: 5 }, (unused, index) =>
      harness.post('/v1/services/register/postings', posting, { 'idempotency-key': `k${index}` }),
    );
    const answers = await Promise.all(attempts.map(async (attempt) => (await attempt).text()));
    vitest.expect(new Set(answers).size).toBe(1);
    const runs = await fetch(`http://${harness.standin('register-1').address}/standin/runs`);
    vitest.expect(((await runs.json()) as { total: number }).total).toBe(1);
  });

  const refusals: readonly [string, number, string, () => Promise<Response>][] = [
    [
      'unknown pipeline',
      404,
      'unknown-pipeline',
      () => harness.post('/v1/pipelines/x', { input: 'a' }),
    ],
    [
      'unknown model',
      404,
      'unknown-pipeline',
      () => harness.post('/v1/embeddings', { model: 'x', input: 'a' }),
    ],
    ['unknown path', 404, 'unknown-route', () => harness.post('/v2', {})],
    [
      'unknown service path',
      404,
      'unknown-service',
      () => harness.post('/v1/services/register/x', {}),
    ],
    ['wrong method', 405, 'method-not-allowed', () => fetch(`${harness.url}/v1/embeddings`)],
    [
      'wrong key',
      401,
      'bad-key',
      () => harness.post('/v1/pipelines/summary', {}, { authorization: 'Bearer x' }),
    ],
    ['malformed JSON', 400, 'bad-json', () => harness.post('/v1/pipelines/summary', '{"input":')],
    ['missing field', 400, 'bad-body', () => harness.post('/v1/pipelines/summary', {})],
    [
      'oversize body',
      413,
      'body-too-large',
      () => harness.post('/v1/pipelines/summary', 'x'.repeat(5 << 20)),
    ],
    [
      'bad header',
      400,
      'bad-header',
      () => harness.post('/v1/pipelines/summary', { input: 'a' }, { 'x-deadline-ms': 'soon' }),
    ],
    [
      'past deadline',
      504,
      'deadline-past',
      () => harness.post('/v1/pipelines/summary', { input: 'a' }, { 'x-deadline-ms': '-5' }),
    ],
    [
      'missing idempotency and natural key',
      400,
      'key-required',
      () => harness.post('/v1/services/register/postings', { account: 'A' }),
    ],
  ];

  vitest.it.each(refusals.filter(([name]) => /^(unknown (?!path)|wrong)/.test(name)))(
    'does not deny a request for good while a newer configuration may be in force: %s',
    async (name, status, code, sendRequest) => {
      harness.configuration.isCurrent = false;
      const res = await sendRequest();
      const { error } = (await res.json()) as IErrorBody;
      const isFixedPath = name === 'wrong method';
      vitest
        .expect([res.status, error.code, error.run])
        .toEqual(isFixedPath ? [status, code, 'not-run'] : [503, 'not-ready', 'not-run']);
      vitest.expect(res.headers.has('retry-after')).toBe(!isFixedPath);
    },
  );

  vitest.it.each(refusals)(
    'refuses a request as not run: %s',
    async (name, status, code, sendRequest) => {
      const res = await sendRequest();
      const body = (await res.json()) as IErrorBody;
      vitest
        .expect([res.status, body.error.code, body.error.run])
        .toEqual([status, code, 'not-run']);
      vitest.expect(res.headers.get('x-request-id')).toBe(body.error.request_id);
      vitest.expect(harness.metrics.counters.get(`refused{reason=${code}}`)).toBe(1);
    },
  );

  const cutBothReplicas = () => {
    harness.standin('llm-1').setFaults({ cutAtToken: 3 });
    harness.standin('llm-2').setFaults({ cutAtToken: 3 });
  };

  vitest.it('resumes a cut stream without lost or duplicated tokens', async () => {
    cutBothReplicas();
    const res = await harness.post('/v1/pipelines/summary', { input: 'a', stream: true });
    const ids = [...(await res.text()).matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    vitest.expect(ids).toEqual(Array.from({ length: 20 }, (unused, index) => index + 1));
  });

  vitest.it('ends a cut stream with an error when the pool is not resumable', async () => {
    harness.editDeclaration((declaration) => ({
      ...declaration,
      pools: declaration.pools.map((pool) => ({ ...pool, resumable: false })),
    }));
    cutBothReplicas();
    const res = await harness.post('/v1/pipelines/summary', { input: 'a', stream: true });
    await vitest.expect(res.text()).rejects.toThrow();
    vitest.expect(harness.accounting.records[0]?.outcome).toBe('stream-cut');
  });

  vitest.it('rejects an answer that has the id of another request', async () => {
    harness.standin('register-1').setFaults({ crossedShare: 1 });
    const get = () =>
      fetch(`${harness.url}/v1/services/register/accounts/1/balance`, { headers: harness.headers });
    await get();
    const res = await get();
    vitest.expect(((await res.json()) as IErrorBody).error.code).toBe('answer-mismatch');
  });

  vitest.it('finishes requests in flight while it drains, and refuses new ones', async () => {
    harness.standin('llm-1').setFaults({ delayMs: 200 });
    harness.standin('llm-2').setFaults({ delayMs: 200 });
    const running = harness.post('/v1/pipelines/summary', { input: 'a' });
    await vitest.vi.waitFor(() => vitest.expect(harness.standin('stage-1').address).not.toBe(''));
    await harness.clock.sleep(50);
    const drained = harness.drain();
    vitest.expect((await running).status).toBe(200);
    await drained;
    await vitest.expect(fetch(`${harness.url}/healthz`)).rejects.toThrow();
  });

  vitest.it(
    'refuses a non-repeatable call when its intent can not be recorded by a quorum',
    async () => {
      harness.ledger.available = false;
      const posting = { account: 'A-1', document: 1 };
      const res = await harness.post('/v1/services/register/postings', posting);
      const body = (await res.json()) as IErrorBody;
      vitest.expect([body.error.code, body.error.run]).toEqual(['ledger-unavailable', 'not-run']);
      vitest.expect(res.headers.get('retry-after')).toBe('5');
    },
  );
});
