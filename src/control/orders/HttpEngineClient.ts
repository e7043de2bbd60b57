import * as http from 'node:http';
import * as zod from 'zod';
import * as responseEnd from '../../common/wire/ResponseEnd.js';
import * as responseGuard from '../../common/wire/ResponseGuard.js';
import type * as stateTypes from '../state/Types.js';
import type * as types from './Types.js';

const MAX_RESPONSE_BYTES = 1024 * 1024;
const SECOND_MS = 1000;
const DEFAULT_RETRY_AFTER_S = 1;

const engineStateSchema = zod.object({
  models: zod.array(
    zod.object({
      model: zod.string(),
      version: zod.string().default(''),
      adapters: zod.array(zod.string()).default([]),
    }),
  ),
  role: zod.string().default(''),
});

const staleFence = zod.object({ fence: zod.number() });

interface IEngineResponse {
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly text: string;
}

/** HTTP client for engines that implement the orders of docs/design/endpoint-protocol.md. */
export class HttpEngineClient implements types.IEngineClient {
  /** @inheritdoc */
  async send(order: stateTypes.Order, signal: AbortSignal): Promise<types.OrderOutcome> {
    const { orderId, fence, action, model, adapter, version, role } = order;
    const optional = Object.entries({ model, adapter, version, role }).filter(
      ([, value]) => value !== '',
    );
    const body = { order_id: orderId, fence, action, ...Object.fromEntries(optional) };
    const response = await call(order.address, 'POST', JSON.stringify(body), signal);
    return toOutcome(response);
  }

  /** @inheritdoc */
  async readState(order: stateTypes.Order, signal: AbortSignal): Promise<types.IEngineState> {
    const response = await call(order.address, 'GET', '', signal);
    if (response.status !== 200) {
      throw new Error(`the engine answered its state query with status ${response.status}`);
    }
    return engineStateSchema.parse(JSON.parse(response.text));
  }
}

function toOutcome(response: IEngineResponse): types.OrderOutcome {
  const { status, text } = response;
  if (status === 200) {
    return { kind: 'taken' };
  }
  if (status === 409) {
    return { kind: 'old-fence', fence: staleFence.parse(JSON.parse(text)).fence };
  }
  if (status === 429 || status === 503) {
    const seconds = Number(response.retryAfter ?? DEFAULT_RETRY_AFTER_S);
    return { kind: 'later', retryAfter: (seconds || DEFAULT_RETRY_AFTER_S) * SECOND_MS };
  }
  if (status >= 400 && status < 500) {
    return {
      kind: 'refused',
      message: `the engine answered with status ${status}: ${text.slice(0, 200)}`,
    };
  }
  throw new Error(`the engine answered with status ${status}`);
}

function call(
  address: string,
  method: string,
  body: string,
  signal: AbortSignal,
): Promise<IEngineResponse> {
  return new Promise((resolve, reject) => {
    const url = `http://${address}/v1/orders`;
    const headers = { 'content-type': 'application/json' };
    const req = http.request(url, { method, headers, signal, agent: false }, (res) => {
      const end = new responseEnd.ResponseEnd(res);
      const chunks: Buffer[] = [];
      let bytes = 0;
      res.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > MAX_RESPONSE_BYTES) {
          req.destroy(new Error('the engine response is longer than 1 MiB'));
        }
      });
      res.on('error', reject);
      res.on('end', () => {
        if (!end.isComplete) {
          reject(new Error('the connection broke before the end of the engine response'));
          return;
        }
        const text = Buffer.concat(chunks).toString();
        resolve({ status: res.statusCode ?? 0, retryAfter: res.headers['retry-after'], text });
      });
    });
    responseGuard.guardResponse(req);
    req.on('error', reject);
    req.end(body);
  });
}
