/** Protobuf codec of the messages between replicas (replication.proto). */
import * as pattern from 'ts-pattern';
import * as generated from '#replication/replication.js';
import * as codec from '../log/Codec.js';
import type * as types from './Types.js';

const proto = generated.anvildeck.replication;

type Wire = typeof generated.anvildeck.replication;
type WireRequest = InstanceType<Wire['PeerRequest']>;
type WireResponse = InstanceType<Wire['PeerResponse']>;
type WireBody<T> = T | null | undefined;

/** Throws the error for a message without a body of a known kind. */
function throwMalformed(): never {
  throw new Error('malformed replication message: no body of a known kind');
}

/** Encodes a request as a protobuf PeerRequest. */
export function encodeRequest(req: types.IPeerRequest): Uint8Array {
  const { body, ...envelope } = req;
  const wire = pattern
    .match(body)
    .with({ kind: 'hello' }, () => ({ hello: {} }))
    .with({ kind: 'vote' }, ({ kind, ...vote }) => ({ vote }))
    .with({ kind: 'append' }, ({ kind, ...append }) => ({
      append: { ...append, entries: append.entries.map(codec.toWireEntry) },
    }))
    .with({ kind: 'snapshot' }, ({ kind, ...part }) => ({
      snapshot: { ...part, meta: { ...part.meta, members: [...part.meta.members] } },
    }))
    .exhaustive();
  return proto.PeerRequest.encode({ ...envelope, ...wire }).finish();
}

/**
 * Decodes a protobuf PeerRequest. Missing fields get their protobuf defaults.
 *
 * @throws Error when the bytes are malformed or the body is of no known kind.
 */
export function decodeRequest(bytes: Uint8Array): types.IPeerRequest {
  const wire = proto.PeerRequest.decode(bytes);
  const { from, fromIncarnation, to, toIncarnation, term } = wire;
  return { from, fromIncarnation, to, toIncarnation, term, body: decodeRequestBody(wire) };
}

function decodeRequestBody(wire: WireRequest): types.PeerRequestBody {
  return pattern
    .match(wire.body)
    .with('hello', () => ({ kind: 'hello' as const }))
    .with('vote', () => decodeVoteRequest(wire.vote))
    .with('append', () => decodeAppendRequest(wire.append))
    .with('snapshot', () => decodeSnapshotRequest(wire.snapshot))
    .otherwise(throwMalformed);
}

function decodeVoteRequest(
  wire: WireBody<generated.anvildeck.replication.IVoteRequest>,
): types.IVoteRequest {
  return {
    kind: 'vote',
    pre: wire?.pre ?? false,
    lastIndex: wire?.lastIndex ?? 0,
    lastTerm: wire?.lastTerm ?? 0,
  };
}

function decodeAppendRequest(
  wire: WireBody<generated.anvildeck.replication.IAppendRequest>,
): types.IAppendRequest {
  return {
    kind: 'append',
    previousIndex: wire?.previousIndex ?? 0,
    previousTerm: wire?.previousTerm ?? 0,
    commitIndex: wire?.commitIndex ?? 0,
    entries: (wire?.entries ?? []).map(codec.fromWireEntry),
  };
}

function decodeSnapshotRequest(
  wire: WireBody<generated.anvildeck.replication.ISnapshotRequest>,
): types.ISnapshotRequest {
  return {
    kind: 'snapshot',
    meta: {
      index: wire?.meta?.index ?? 0,
      term: wire?.meta?.term ?? 0,
      members: (wire?.meta?.members ?? []).map(codec.fromWireMember),
    },
    offset: wire?.offset ?? 0,
    data: wire?.data ?? new Uint8Array(),
    done: wire?.done ?? false,
  };
}

/** Encodes a response as a protobuf PeerResponse; one without a body is marked as refused. */
export function encodeResponse(res: types.IPeerResponse): Uint8Array {
  const { body, incarnation, term } = res;
  const wire = pattern
    .match(body)
    .with(undefined, () => ({ refused: true }))
    .with({ kind: 'hello' }, ({ blank, founders }) => ({
      hello: { blank, founders: [...founders] },
    }))
    .with({ kind: 'vote' }, ({ granted }) => ({ vote: { granted } }))
    .with({ kind: 'append' }, ({ success, index }) => ({ append: { success, index } }))
    .with({ kind: 'snapshot' }, ({ offset, installed }) => ({ snapshot: { offset, installed } }))
    .exhaustive();
  return proto.PeerResponse.encode({ incarnation, term, ...wire }).finish();
}

/**
 * Decodes a protobuf PeerResponse; the body is undefined when the request was refused.
 *
 * @throws Error when the bytes are malformed or the body is of no known kind.
 */
export function decodeResponse(bytes: Uint8Array): types.IPeerResponse {
  const wire = proto.PeerResponse.decode(bytes);
  const { incarnation, term } = wire;
  return { incarnation, term, body: wire.refused ? undefined : decodeResponseBody(wire) };
}

function decodeResponseBody(wire: WireResponse): types.PeerResponseBody {
  const { hello, vote, append, snapshot } = wire;
  return pattern
    .match(wire.body)
    .with('hello', () => ({
      kind: 'hello' as const,
      blank: hello?.blank ?? false,
      founders: hello?.founders ?? [],
    }))
    .with('vote', () => ({ kind: 'vote' as const, granted: vote?.granted ?? false }))
    .with('append', () => ({
      kind: 'append' as const,
      success: append?.success ?? false,
      index: append?.index ?? 0,
    }))
    .with('snapshot', () => ({
      kind: 'snapshot' as const,
      offset: snapshot?.offset ?? 0,
      installed: snapshot?.installed ?? false,
    }))
    .otherwise(throwMalformed);
}
