/** Contracts of the durable log: the stored data, and the file system interface that tests replace. */
import type * as commonTypes from '../../common/Types.js';
import type * as controlTypes from '../Types.js';

/** Content of an entry: a command of the state machine, nothing, or the members of the group. */
export type EntryKind = 'command' | 'noop' | 'members';

/** One entry of the replicated log. */
export interface IEntry {
  /** Position in the log, from 1. */
  readonly index: number;
  /** Term of the leader that created the entry. */
  readonly term: number;
  readonly kind: EntryKind;
  readonly data: Uint8Array;
}

/** Last log entry that a snapshot covers, and the members of the group at that entry. */
export interface ISnapshotMeta {
  readonly index: number;
  readonly term: number;
  readonly members: readonly controlTypes.IMember[];
}

/** A snapshot of the state machine, encoded. */
export interface ISnapshot {
  readonly meta: ISnapshotMeta;
  readonly data: Uint8Array;
}

/** Current term and vote, which must be durable before a replica answers a request of the term. */
export interface IVote {
  readonly term: number;
  /** Id of the candidate that got the vote in this term; undefined before a vote. */
  readonly votedFor: string | undefined;
}

/** Identity of the replica that owns a data folder. */
export interface IIdentity {
  readonly id: string;
  /** Random id, created with the folder: a replica that lost its folder returns with a new incarnation. */
  readonly incarnation: string;
  /** Founding members, recorded if the folder was created before any group could exist; empty otherwise. */
  readonly founders: readonly controlTypes.IFoundingMember[];
}

/** An open file. */
export interface IFile {
  /** Length in bytes. */
  size(): Promise<number>;
  /** Reads `length` bytes from `offset`; fewer at the end of the file. */
  read(offset: number, length: number): Promise<Uint8Array>;
  /** Writes all of `data` from `offset`; not durable before `sync`. */
  write(offset: number, data: Uint8Array): Promise<void>;
  /** Makes the content durable. After a rejection the durable content is undefined, so never retry. */
  sync(): Promise<void>;
  /** Truncates the file to `length` bytes. */
  truncate(length: number): Promise<void>;
  close(): Promise<void>;
}

/** The part of a file system that the log uses. Paths are absolute or relative to the process. */
export interface IDisk {
  /** Creates a folder and its parents where missing. */
  makeFolder(path: string): Promise<void>;
  /** Names of the files in a folder, sorted; empty when the folder does not exist. */
  list(path: string): Promise<readonly string[]>;
  /** Opens a file for reading and writing, creating it when missing. */
  open(path: string): Promise<IFile>;
  /** Renames `from` to `to`, replacing an existing file. */
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Makes creations, renames and removals in the folder durable. */
  syncFolder(path: string): Promise<void>;
  /** Free space in bytes on the file system of the folder. */
  freeBytes(path: string): Promise<number>;
  /** Locks the folder against other processes until disposed; rejects with FolderLockedError when it is taken. */
  lock(path: string): Promise<commonTypes.IDisposable>;
}

/** A fault found in a data folder. */
export interface IDataFinding {
  /** Path of the file. */
  readonly file: string;
  /** Byte offset of the fault in the file. */
  readonly offset: number;
  /** Description of the fault. */
  readonly what: string;
  /** True for a record that a crash left incomplete, which the next start truncates. */
  readonly torn: boolean;
}

/** Settles the promise of an append once its entries are durable or the write failed. */
export interface IWaiter {
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}
