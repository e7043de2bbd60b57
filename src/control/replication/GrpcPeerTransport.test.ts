import * as grpc from '@grpc/grpc-js';
import * as vitest from 'vitest';
import * as systemClock from '../../common/SystemClock.js';
import * as grpcPeerTransport from './GrpcPeerTransport.js';
import type * as types from './Types.js';

const { afterEach, beforeEach, describe, expect, it } = vitest;

const member = { id: 'c1', address: '127.0.0.1:7', voter: true, incarnation: 'f00d' };
const envelope = { from: 'c1', fromIncarnation: 'a', to: 'c2', toIncarnation: 'b', term: 7 };
const entry = { index: 2 ** 40, term: 7, kind: 'members', data: Buffer.from([1, 0, 2]) } as const;

const EXCHANGES: readonly (readonly [types.PeerRequestBody, types.PeerResponseBody | undefined])[] =
  [
    [{ kind: 'hello' }, { kind: 'hello', blank: true, founders: ['c1', 'c2'] }],
    [
      { kind: 'vote', pre: true, lastIndex: 5, lastTerm: 4 },
      { kind: 'vote', granted: true },
    ],
    [
      { kind: 'append', previousIndex: 9, previousTerm: 1, commitIndex: 8, entries: [entry] },
      { kind: 'append', success: true, index: 10 },
    ],
    [
      {
        kind: 'snapshot',
        meta: { index: 9, term: 2, members: [member] },
        offset: 64,
        data: Buffer.from('part'),
        done: true,
      },
      { kind: 'snapshot', offset: 68, installed: true },
    ],
    [{ kind: 'hello' }, undefined],
  ];

describe('GrpcPeerTransport', () => {
  let server: grpc.Server;
  let transport: grpcPeerTransport.GrpcPeerTransport;
  let address: string;

  beforeEach(async () => {
    server = new grpc.Server(grpcPeerTransport.SERVER_OPTIONS);
    const credentials = grpc.credentials.createInsecure();
    const clock = new systemClock.SystemClock();
    transport = new grpcPeerTransport.GrpcPeerTransport(server, credentials, clock);
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (err, bound) => {
        if (err === null) {
          resolve(bound);
        } else {
          reject(err);
        }
      });
    });
    address = `127.0.0.1:${port}`;
  });

  afterEach(() => {
    transport.dispose();
    server.forceShutdown();
  });

  it('transmits every kind of request and response unchanged', async () => {
    for (const [body, answer] of EXCHANGES) {
      const seen: types.IPeerRequest[] = [];
      const res = { incarnation: 'b', term: 8, body: answer };
      const serving = transport.serve(async (req) => {
        seen.push(req);
        return res;
      });
      expect(await transport.call(address, { ...envelope, body }, 5000)).toEqual(res);
      expect(seen).toEqual([{ ...envelope, body }]);
      serving.dispose();
    }
  });

  it('rejects without a handler, when the response exceeds the timeout, and when disposed', async () => {
    const req: types.IPeerRequest = { ...envelope, body: { kind: 'hello' } };
    await expect(transport.call(address, req, 5000)).rejects.toThrow('the replica has stopped');
    transport.serve(() => new Promise(() => {}));
    await expect(transport.call(address, req, 20)).rejects.toThrow('DEADLINE_EXCEEDED');
    transport.dispose();
    await expect(transport.call(address, req, 20)).rejects.toThrow('transport closed');
  });

  it('transmits an append of 2 MiB, at least the largest batch', async () => {
    const data = Buffer.alloc(2 * 1024 * 1024, 7);
    const entries = [{ ...entry, data }];
    const body = { kind: 'append', previousIndex: 1, previousTerm: 1, commitIndex: 1 } as const;
    transport.serve(async (req) => ({
      incarnation: 'b',
      term: req.body.kind === 'append' ? (req.body.entries[0]?.data.length ?? 0) : 0,
      body: { kind: 'append', success: true, index: 2 },
    }));
    const res = await transport.call(address, { ...envelope, body: { ...body, entries } }, 5000);
    expect(res.term).toBe(data.length);
  });
});
