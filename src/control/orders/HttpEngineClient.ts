import * as http from 'node:http';
import * as zod from 'zod';
import type * as stateTypes from '../state/Types.js';
import type * as types from './Types.js';

const MAX_ANSWER_BYTES = 1024 * 1024;
const SECOND_MS = 1000;
const DEFAULT_RETRY_SECONDS = 1;

const engineState = zod.object({
  models: zod.array(
    zod.object({
      model: zod.string(),
      version: zod.string().default(''),
      adapters: zod.array(zod.string()).default([]),
    }),
  ),
  role: zod.string().default(''),
});

const oldFence = zod.object({ fence: zod.number() });

interface IReply {
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly text: string;
}

/** Engines that take orders as docs/design/endpoint-protocol.md says. */
export class HttpEngineClient implements types.IEngineClient {
  /** @inheritdoc */
  async send(order: stateTypes.Order, signal: AbortSignal): Promise<types.OrderOutcome> {
    const { orderId, fence, action, model, adapter, version, role } = order;
    const optional = Object.entries({ model, adapter, version, role }).filter(
      ([, value]) => value !== '',
    );
    const body = { order_id: orderId, fence, action, ...Object.fromEntries(optional) };
    const reply = await call(order.address, 'POST', JSON.stringify(body), signal);
    return toOutcome(reply);
  }

  /** @inheritdoc */
  async readState(order: stateTypes.Order, signal: AbortSignal): Promise<types.IEngineState> {
    const reply = await call(order.address, 'GET', '', signal);
    if (reply.status !== 200) {
      throw new Error(`the engine answered ${reply.status} when it was read back`);
    }
    return engineState.parse(JSON.parse(reply.text));
  }
}

function toOutcome(reply: IReply): types.OrderOutcome {
  const { status, text } = reply;
  if (status === 200) {
    return { kind: 'taken' };
  }
  if (status === 409) {
    return { kind: 'old-fence', fence: oldFence.parse(JSON.parse(text)).fence };
  }
  if (status === 429 || status === 503) {
    const seconds = Number(reply.retryAfter ?? DEFAULT_RETRY_SECONDS);
    return { kind: 'later', retryAfter: (seconds || DEFAULT_RETRY_SECONDS) * SECOND_MS };
  }
  if (status >= 400 && status < 500) {
    return { kind: 'refused', message: `the engine answered ${status}: ${text.slice(0, 200)}` };
  }
  throw new Error(`the engine answered ${status}`);
}

function call(address: string, method: string, body: string, signal: AbortSignal): Promise<IReply> {
  return new Promise((resolve, reject) => {
    const url = `http://${address}/v1/orders`;
    const headers = { 'content-type': 'application/json' };
    const req = http.request(url, { method, headers, signal, agent: false }, (res) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      res.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > MAX_ANSWER_BYTES) {
          req.destroy(new Error('the answer of the engine is too large'));
        }
      });
      res.on('error', reject);
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        resolve({ status: res.statusCode ?? 0, retryAfter: res.headers['retry-after'], text });
      });
    });
    req.on('error', reject);
    req.end(body);
  });
}
