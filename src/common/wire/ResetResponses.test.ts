import * as vitest from 'vitest';
import type * as configTypes from '../../config/Types.js';
import * as httpEngineClient from '../../control/orders/HttpEngineClient.js';
import type * as stateTypes from '../../control/state/Types.js';
import * as httpEndpointClient from '../../entry/endpoints/HttpEndpointClient.js';
import type * as entryTypes from '../../entry/Types.js';
import * as sender from '../../load/Sender.js';
import type * as loadTypes from '../../load/Types.js';
import * as httpPlatformListClient from '../../membership/HttpPlatformListClient.js';
import * as systemClock from '../SystemClock.js';
import * as rawResponder from '../testing/RawResponder.js';

const { afterEach, beforeEach, describe, expect, test } = vitest;
const REPEATS = 10;
const LONG_BYTES = 4_194_304;
const CALL_ID = 'c';
const OK = `HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: ${CALL_ID}\r\n`;
const EVENT_STREAM = 'Content-Type: text/event-stream\r\n';
const { signal } = new AbortController();

/** A client of the product. */
interface IClient {
  /** Body that the client accepts. */
  readonly body: string;
  /** Headers of the response beside those of its framing. */
  readonly headers?: string;
  /** Sends a request; resolves with whether its response is taken as whole. */
  send(address: string): Promise<boolean>;
}

async function resolves(work: Promise<unknown>): Promise<boolean> {
  return work.then(
    () => true,
    () => false,
  );
}

async function call(address: string, bodyBytes: number, isStream: boolean): Promise<boolean> {
  const client = new httpEndpointClient.HttpEndpointClient();
  const endpoint = { name: 'e', address } as configTypes.IEndpoint;
  const request = {
    method: bodyBytes === 0 ? 'GET' : 'POST',
    path: '/',
    callId: CALL_ID,
    headers: {},
    body: Buffer.alloc(bodyBytes),
    repeatable: bodyBytes === 0,
  } as unknown as entryTypes.IEndpointCall;
  const readStream = async (): Promise<void> => {
    const { chunks } = await client.stream(endpoint, request, signal);
    for await (const chunk of chunks) {
      expect(chunk.length).toBeGreaterThan(0);
    }
  };
  const isWhole = await resolves(isStream ? readStream() : client.call(endpoint, request, signal));
  client.dispose();
  return isWhole;
}

async function load(address: string, json: unknown): Promise<boolean> {
  const client = new sender.Sender(new systemClock.SystemClock(), {}, 1);
  const kind = {
    kind: 'k',
    deadlineMs: 60_000,
    method: json === undefined ? 'GET' : 'POST',
    path: () => '/',
    body: () => json,
  };
  const planned = { index: 0, at: 0, kind, workspace: 'w' } as unknown as loadTypes.IPlannedRequest;
  const { outcome } = await client.send(address, planned, Number.POSITIVE_INFINITY);
  client.dispose();
  expect(['in-time', 'cut', 'failed']).toContain(outcome);
  return outcome === 'in-time';
}

const ORDER = { orderId: 'o', fence: 1, action: 'load', model: 'm' };
const engines = new httpEngineClient.HttpEngineClient();
const CLIENTS: Readonly<Record<string, IClient>> = {
  'HttpEndpointClient, whole, GET': {
    body: 'part',
    send: (address) => call(address, 0, false),
  },
  'HttpEndpointClient, whole, long POST': {
    body: 'part',
    send: (address) => call(address, LONG_BYTES, false),
  },
  'HttpEndpointClient, events, short POST': {
    body: 'data: 1\n\ndata: [DONE]\n\n',
    headers: EVENT_STREAM,
    send: (address) => call(address, 1, true),
  },
  'HttpEndpointClient, bytes in a stream, long POST': {
    body: 'part',
    send: (address) => call(address, LONG_BYTES, true),
  },
  'HttpEngineClient, order': {
    body: '{}',
    send: (address) =>
      resolves(engines.send({ ...ORDER, address } as unknown as stateTypes.Order, signal)),
  },
  'HttpEngineClient, long order': {
    body: '{}',
    send: (address) =>
      resolves(
        engines.send(
          { ...ORDER, address, adapter: 'a'.repeat(LONG_BYTES) } as unknown as stateTypes.Order,
          signal,
        ),
      ),
  },
  'HttpEngineClient, state': {
    body: '{"models":[]}',
    send: (address) =>
      resolves(engines.readState({ address } as unknown as stateTypes.Order, signal)),
  },
  HttpPlatformListClient: {
    body: '{"generation":1,"vms":[]}',
    send: (address) =>
      resolves(new httpPlatformListClient.HttpPlatformListClient(address).read(signal)),
  },
  'Sender, GET': { body: 'part', send: (address) => load(address, undefined) },
  'Sender, long POST': {
    body: 'part',
    send: (address) => load(address, 'a'.repeat(LONG_BYTES)),
  },
  'Sender, events': {
    body: 'data: 1\n\ndata: [DONE]\n\n',
    headers: EVENT_STREAM,
    send: (address) => load(address, 'a'),
  },
};

/** Whole bodies, by the headers that frame them. */
const FRAMINGS: Readonly<Record<string, (body: string) => string>> = {
  'a length': (body) => `Content-Length: ${body.length}\r\n\r\n${body}`,
  chunks: (body) =>
    `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
};
/** Bodies that end before their framing does. */
const TRUNCATIONS: Readonly<Record<string, (body: string) => string>> = {
  'a length that is not reached': (body) => `Content-Length: ${body.length + 1}\r\n\r\n${body}`,
  'chunks without the last': (body) =>
    `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n`,
};

const NAMES = Object.keys(CLIENTS);

function product(...lists: readonly (readonly string[])[]): readonly string[][] {
  return lists.reduce<string[][]>(
    (rows, list) => rows.flatMap((row) => list.map((item) => [...row, item])),
    [[]],
  );
}

describe('clients of the product', () => {
  let responder: rawResponder.RawResponder;
  let address: string;

  beforeEach(async () => {
    responder = new rawResponder.RawResponder('', () => {});
    address = await responder.listen();
  });

  afterEach(() => responder.dispose());

  /** Number of REPEATS responses that the client takes as whole. */
  async function countWhole(name: string, frame: (body: string) => string): Promise<number> {
    const { body, headers, send } = CLIENTS[name] as IClient;
    responder.text = `${OK}${headers ?? ''}${frame(body)}`;
    let whole = 0;
    for (let at = 0; at < REPEATS; at++) {
      whole += (await send(address)) ? 1 : 0;
    }
    return whole;
  }

  // Issue 63.
  test.each(product(NAMES, Object.keys(rawResponder.CUTS)))(
    '%s: does not take a body without a length as whole when %s',
    async (name, end) => {
      responder.end = rawResponder.CUTS[end] as rawResponder.EndFn;
      expect(await countWhole(name, (body) => `\r\n${body}`)).toBe(0);
    },
  );

  test.each(product(NAMES, Object.keys(rawResponder.CLOSES)))(
    '%s: takes a body without a length as whole when %s',
    async (name, end) => {
      responder.end = rawResponder.CLOSES[end] as rawResponder.EndFn;
      expect(await countWhole(name, (body) => `\r\n${body}`)).toBe(REPEATS);
    },
  );

  const ALL_ENDS = { ...rawResponder.CUTS, ...rawResponder.CLOSES };
  const SOME_ENDS = ['reset with the last bytes', 'reset after 3 ms', 'closed with the last bytes'];

  test.each(product(NAMES, Object.keys(TRUNCATIONS), SOME_ENDS))(
    '%s: does not take %s as whole when %s',
    async (name, framing, end) => {
      responder.end = ALL_ENDS[end] as rawResponder.EndFn;
      const frame = TRUNCATIONS[framing] as (body: string) => string;
      expect(await countWhole(name, frame)).toBe(0);
    },
  );

  test.each(product(NAMES, Object.keys(FRAMINGS)))(
    '%s: takes a body with %s as whole',
    async (name, framing) => {
      responder.end = (socket) => socket.end();
      const frame = FRAMINGS[framing] as (body: string) => string;
      expect(await countWhole(name, frame)).toBe(REPEATS);
    },
  );
});
