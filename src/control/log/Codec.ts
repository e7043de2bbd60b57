/** Encodes and decodes the record payloads of the data folder as protobuf messages (log.proto). */
import * as generated from '#log/log.js';
import type * as controlTypes from '../Types.js';
import type * as types from './Types.js';

const proto = generated.anvildeck.log;

const KINDS = ['command', 'noop', 'members'] as const satisfies readonly types.EntryKind[];

/** Converts an entry to its protobuf fields. */
export function toWireEntry(entry: types.IEntry): generated.anvildeck.log.IEntry {
  const { index, term, data } = entry;
  return { index, term, kind: KINDS.indexOf(entry.kind), data };
}

/** Converts protobuf fields to an entry; missing fields get their defaults. */
export function fromWireEntry(wire: generated.anvildeck.log.IEntry): types.IEntry {
  return {
    index: wire.index ?? 0,
    term: wire.term ?? 0,
    kind: KINDS[wire.kind ?? 0] ?? 'command',
    data: wire.data ?? new Uint8Array(),
  };
}

/** Converts protobuf fields to a member; missing fields get their defaults. */
export function fromWireMember(wire: generated.anvildeck.log.IMember): controlTypes.IMember {
  return {
    id: wire.id ?? '',
    address: wire.address ?? '',
    voter: wire.voter ?? false,
    incarnation: wire.incarnation ?? '',
  };
}

/** Encodes the entries that one sync makes durable together as one record payload. */
export function encodeBatch(entries: readonly types.IEntry[]): Uint8Array {
  return proto.Batch.encode({ entries: entries.map(toWireEntry) }).finish();
}

/** Decodes the entries of one record payload. */
export function decodeBatch(payload: Uint8Array): readonly types.IEntry[] {
  return (proto.Batch.decode(payload).entries ?? []).map(fromWireEntry);
}

/** Encodes the data of an entry of kind `members`. */
export function encodeMembers(members: readonly controlTypes.IMember[]): Uint8Array {
  return proto.Members.encode({ members: [...members] }).finish();
}

/** Decodes the data of an entry of kind `members`. */
export function decodeMembers(data: Uint8Array): readonly controlTypes.IMember[] {
  return (proto.Members.decode(data).members ?? []).map(fromWireMember);
}

/** Encodes the payload of the identity file. */
export function encodeIdentity(identity: types.IIdentity): Uint8Array {
  return proto.Identity.encode({ ...identity, founders: [...identity.founders] }).finish();
}

/** Decodes the payload of the identity file. */
export function decodeIdentity(payload: Uint8Array): types.IIdentity {
  const { id, incarnation, founders } = proto.Identity.decode(payload);
  return {
    id: id ?? '',
    incarnation: incarnation ?? '',
    founders: (founders ?? []).map((founder) => ({
      id: founder.id ?? '',
      address: founder.address ?? '',
    })),
  };
}

/** Encodes the payload of the vote file; no vote is stored as an empty id. */
export function encodeVote(vote: types.IVote): Uint8Array {
  return proto.Vote.encode({ term: vote.term, votedFor: vote.votedFor ?? '' }).finish();
}

/** Decodes the payload of the vote file. */
export function decodeVote(payload: Uint8Array): types.IVote {
  const { term, votedFor } = proto.Vote.decode(payload);
  return { term: term ?? 0, votedFor: votedFor || undefined };
}

/** Encodes the metadata of a snapshot; `size` is the length of its data in bytes. */
export function encodeSnapshotMeta(meta: types.ISnapshotMeta, size: number): Uint8Array {
  const { index, term, members } = meta;
  return proto.SnapshotMeta.encode({ index, term, members: [...members], size }).finish();
}

/** Decodes the metadata of a snapshot with the length of its data in bytes. */
export function decodeSnapshotMeta(payload: Uint8Array): types.ISnapshotMeta & { size: number } {
  const wire = proto.SnapshotMeta.decode(payload);
  return {
    index: wire.index ?? 0,
    term: wire.term ?? 0,
    members: (wire.members ?? []).map(fromWireMember),
    size: wire.size ?? 0,
  };
}
