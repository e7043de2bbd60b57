/** Contracts of the replication: messages between replicas, the transport that carries them, and the options. */
import type * as commonTypes from '../../common/Types.js';
import type * as controlTypes from '../Types.js';
import type * as logTypes from '../log/Types.js';

/**
 * Requests the identity of a replica; the only request that is accepted without the incarnation of its receiver.
 */
export interface IHelloRequest {
  readonly kind: 'hello';
}

/** Response to a hello; the envelope carries the incarnation. */
export interface IHelloResponse {
  readonly kind: 'hello';
  /** True when the data folder holds neither an entry nor a snapshot. */
  readonly blank: boolean;
  /** Ids of the founding members that the data folder recorded at the first start; empty if there was none. */
  readonly founders: readonly string[];
}

/** Requests a vote in the term of the envelope; with `pre`, only whether the vote would be granted (pre-vote). */
export interface IVoteRequest {
  readonly kind: 'vote';
  readonly pre: boolean;
  /** Index of the last entry in the log of the candidate. */
  readonly lastIndex: number;
  /** Term of that entry. */
  readonly lastTerm: number;
}

/** Response to a vote request. */
export interface IVoteResponse {
  readonly kind: 'vote';
  readonly granted: boolean;
}

/** Sends log entries to a follower; without entries it is a heartbeat. */
export interface IAppendRequest {
  readonly kind: 'append';
  /** Index of the entry before the first one sent. */
  readonly previousIndex: number;
  /** Term of that entry, for the consistency check. */
  readonly previousTerm: number;
  /** Commit index of the leader. */
  readonly commitIndex: number;
  readonly entries: readonly logTypes.IEntry[];
}

/** Response to an append, sent once entries are durable or after a heartbeat interval if the disk is slower. */
export interface IAppendResponse {
  readonly kind: 'append';
  readonly success: boolean;
  /** On success the last index that matches the log of the leader and is durable, else the next index to try. */
  readonly index: number;
}

/** Sends one chunk of a snapshot. */
export interface ISnapshotRequest {
  readonly kind: 'snapshot';
  readonly meta: logTypes.ISnapshotMeta;
  /** Offset of `data` in the snapshot, in bytes. */
  readonly offset: number;
  readonly data: Uint8Array;
  /** True for the last chunk. */
  readonly done: boolean;
}

/** Response to a snapshot chunk. */
export interface ISnapshotResponse {
  readonly kind: 'snapshot';
  /** Number of bytes received so far; the next chunk starts at this offset. */
  readonly offset: number;
  /** True when everything that the snapshot covers is durable on the receiver. */
  readonly installed: boolean;
}

/** Body of a request, by `kind`. */
export type PeerRequestBody = IHelloRequest | IVoteRequest | IAppendRequest | ISnapshotRequest;

/** Body of a response, by `kind`. */
export type PeerResponseBody = IHelloResponse | IVoteResponse | IAppendResponse | ISnapshotResponse;

/** Request from one replica to another. */
export interface IPeerRequest {
  /** Id of the sender. */
  readonly from: string;
  readonly fromIncarnation: string;
  /** Id of the receiver. */
  readonly to: string;
  /** Incarnation that the sender expects the receiver to have; empty only in a hello. */
  readonly toIncarnation: string;
  /** Term of the sender; in a vote request the term of the election. */
  readonly term: number;
  readonly body: PeerRequestBody;
}

/** Response of a replica to a request. */
export interface IPeerResponse {
  readonly incarnation: string;
  readonly term: number;
  /** Undefined when the request was refused: the id or an incarnation of the envelope did not match. */
  readonly body: PeerResponseBody | undefined;
}

/** Handles the requests that a replica receives; rejects when the replica has stopped or its disk fails. */
export type PeerHandler = (req: IPeerRequest) => Promise<IPeerResponse>;

/** Carries requests between replicas. Requests may be lost, duplicated, delayed or reordered. */
export interface IPeerTransport extends commonTypes.IDisposable {
  /** Sends a request to `ip:port`; rejects when no response arrives within `timeout` milliseconds. */
  call(address: string, req: IPeerRequest, timeout: commonTypes.Millis): Promise<IPeerResponse>;
  /** Passes incoming requests to the handler until the result is disposed. */
  serve(handler: PeerHandler): commonTypes.IDisposable;
}

/** Options of a replica. */
export interface IReplicaOptions {
  readonly id: string;
  /** Path of the data folder. */
  readonly dataDir: string;
  /**
   * All founding members, this replica included; empty for a replica that joins an existing group as a learner.
   */
  readonly members: readonly controlTypes.IFoundingMember[];
  /**
   * True when no group can exist yet. A new data folder then records `members`, which stay in force at later starts,
   * and a majority of such replicas may found the group. False when a group may exist, undefined when the settings do
   * not tell: all founding members must then be blank.
   */
  readonly isFirstStart?: boolean;
  readonly tuning?: Partial<ITuning>;
}

/** Timeouts and limits of a replica; defaults in Tuning.ts. */
export interface ITuning {
  /** Interval between the heartbeats of a leader. */
  readonly heartbeatMs: commonTypes.Millis;
  /**
   * Minimum silence of the leader before an election; each timeout is drawn between one and two times this
   * value.
   */
  readonly electionTimeoutMs: commonTypes.Millis;
  /** Timeout of a request to a peer. */
  readonly callTimeoutMs: commonTypes.Millis;
  /** Timeout for a learner to catch up before its promotion. */
  readonly catchUpTimeoutMs: commonTypes.Millis;
  /** Maximum size of the entries in one append request, in bytes. */
  readonly maxBatchBytes: number;
  /** Maximum length of a command, in bytes. */
  readonly maxCommandBytes: number;
  /** Maximum number of commands that are proposed and not yet applied. */
  readonly maxPendingCommands: number;
  /** Maximum total length of these commands, in bytes. */
  readonly maxPendingBytes: number;
  /** Maximum number of reads waiting for confirmation. */
  readonly maxPendingReads: number;
  /** Maximum length of the data in one snapshot request, in bytes. */
  readonly snapshotChunkBytes: number;
  /** Log size below which no snapshot is taken, in bytes. */
  readonly snapshotMinLogBytes: number;
  /** Ratio of the log size to the size of the last snapshot above which a snapshot is due. */
  readonly snapshotLogRatio: number;
  /** Free disk space below which the leader rejects commands, in bytes. */
  readonly diskReserveBytes: number;
}

/** A member of the group other than this replica. */
export type Peer = controlTypes.IMember;
