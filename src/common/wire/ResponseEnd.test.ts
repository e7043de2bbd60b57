import * as http from 'node:http';
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as responseEnd from './ResponseEnd.js';

const { afterEach, beforeEach, describe, expect, test } = vitest;
/** Time after which a slow reader starts. */
const SLOW_READER_MS = 30;
const OK = 'HTTP/1.1 200 OK\r\n';

type EndFn = (socket: net.Socket) => void;
const CLOSE: EndFn = (socket) => socket.end();
const RESET: EndFn = (socket) => socket.resetAndDestroy();
const LATER_RESET: EndFn = (socket) => setTimeout(() => socket.resetAndDestroy(), 20);

describe('ResponseEnd', () => {
  let server: net.Server;
  let agent: http.Agent;
  let respond: EndFn;

  beforeEach(async () => {
    agent = new http.Agent({ keepAlive: true });
    server = net.createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', () => respond(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  /** Sends a request and lets `read` read its response; resolves once that is closed. */
  function request(
    method = 'GET',
    read = (res: http.IncomingMessage, _: http.ClientRequest): unknown => res.resume(),
  ): Promise<{ end: responseEnd.ResponseEnd; socket: net.Socket }> {
    const { port } = server.address() as net.AddressInfo;
    return new Promise((resolve, reject) => {
      const req = http.request({ host: '127.0.0.1', port, method, agent }, (res) => {
        const { socket } = res;
        // The close of the response tells about later errors.
        req.off('error', reject).on('error', () => {});
        const end = new responseEnd.ResponseEnd(res);
        expect(end.kind).toBe(res.complete ? 'framed' : 'open');
        res.on('error', () => {});
        res.once('close', () => resolve({ end, socket }));
        read(res, req);
      });
      req.on('error', reject);
      req.end();
    });
  }

  test.each([
    ['a length', 'Content-Length: 2\r\n\r\nok', CLOSE, 'framed'],
    ['a length and a reset behind it', 'Content-Length: 2\r\n\r\nok', RESET, 'framed'],
    ['a length that is not reached', 'Content-Length: 3\r\n\r\nok', CLOSE, 'broken'],
    ['a length that is reset before', 'Content-Length: 3\r\n\r\nok', RESET, 'broken'],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n', CLOSE, 'framed'],
    ['chunks without the last', 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n', CLOSE, 'broken'],
    ['chunks without a trailer', 'Transfer-Encoding: chunked\r\n\r\n0\r\n', CLOSE, 'broken'],
    ['no length', '\r\nok', CLOSE, 'closed'],
    ['no length and a reset', '\r\nok', RESET, 'broken'],
    ['no length and a later reset', '\r\nok', LATER_RESET, 'broken'],
    ['another coding', 'Transfer-Encoding: gzip\r\n\r\nok', CLOSE, 'closed'],
    ['another coding and a reset', 'Transfer-Encoding: gzip\r\n\r\nok', RESET, 'broken'],
  ])('tells how a body with %s ends', async (_, rest, finish, kind) => {
    respond = (socket) => {
      socket.write(`${OK}${rest}`);
      finish(socket);
    };
    const { end } = await request();
    expect(end.kind).toBe(kind);
    expect(end.isComplete).toBe(kind === 'framed' || kind === 'closed');
  });

  test.each([
    ['a proper end', CLOSE],
    ['a reset', RESET],
  ])(
    'keeps a body with a length whole when its reader is slow and %s follows',
    async (_, finish) => {
      respond = (socket) => {
        socket.write(`${OK}Content-Length: 2\r\n\r\nok`);
        finish(socket);
      };
      const { end } = await request('GET', (res) => setTimeout(() => res.resume(), SLOW_READER_MS));
      expect(end).toMatchObject({ kind: 'framed', isComplete: true });
    },
  );

  test.each([
    ['the request', (res: http.IncomingMessage, req: http.ClientRequest) => req.destroy()],
    [
      'the request with an error',
      (res: http.IncomingMessage, req: http.ClientRequest) => req.destroy(new Error('no time')),
    ],
    ['the response', (res: http.IncomingMessage) => res.destroy()],
    ['the socket', (res: http.IncomingMessage) => res.socket.destroy()],
  ])(
    'does not take a body without a length as whole after %s was destroyed',
    async (_, destroy) => {
      respond = (socket) => {
        socket.write(`${OK}\r\nok`);
      };
      const { end } = await request('GET', (res, req) => {
        res.resume();
        res.once('data', () => destroy(res, req));
      });
      expect(end.isComplete).toBe(false);
    },
  );

  test.each([
    ['204', 'GET', 'HTTP/1.1 204 No Content\r\n\r\n'],
    ['304', 'GET', 'HTTP/1.1 304 Not Modified\r\n\r\n'],
    ['HEAD', 'HEAD', `${OK}\r\n`],
  ])('needs no length where there is no body (%s)', async (_, method, text) => {
    respond = (socket) => {
      socket.write(text);
    };
    const { end } = await request(method);
    expect(end.kind).toBe('framed');
  });

  test('leaves no listener on a connection that is kept', async () => {
    respond = (socket) => {
      socket.write(`${OK}Content-Length: 2\r\n\r\nok`);
    };
    const counts: number[] = [];
    for (let at = 0; at < 3; at++) {
      const { socket } = await request();
      await new Promise(setImmediate);
      counts.push(...['end', 'error', 'close'].map((name) => socket.listenerCount(name)));
    }
    expect(counts.slice(3, 6)).toEqual(counts.slice(0, 3));
    expect(counts.slice(6)).toEqual(counts.slice(0, 3));
  });

  test('does not take an unknown end of a connection for a proper one', () => {
    expect(responseEnd.isClosedByPeer(new net.Socket())).toBe(false);
    expect(responseEnd.isClosedByPeer({} as net.Socket)).toBe(false);
  });

  test.each([
    [{ 'content-length': '0' }, 200, true],
    [{ 'transfer-encoding': 'chunked' }, 200, true],
    [{ 'transfer-encoding': 'gzip, Chunked' }, 200, true],
    [{ 'transfer-encoding': 'gzip' }, 200, false],
    [{ 'transfer-encoding': 'chunked, gzip' }, 200, false],
    [{}, 200, false],
    [{}, 204, true],
    [{}, 304, true],
  ])('finds whether %j with status %i has an end of its own', (headers, statusCode, expected) => {
    const res = { headers, statusCode } as unknown as http.IncomingMessage;
    expect(responseEnd.isDelimited(res)).toBe(expected);
  });
});
