/** Contracts between the log, replication, state and services of the control process. */
import type * as commonTypes from '../common/Types.js';

/** The deterministic state that the replicated log drives. Time reaches it only inside commands. */
export interface IStateMachine {
  /** Applies one committed command and returns its encoded result. */
  apply(index: number, command: Uint8Array): Uint8Array;
  /** The whole state, encoded. */
  snapshot(): Uint8Array;
  /** Replaces the whole state by an encoded one. */
  restore(snapshot: Uint8Array): void;
}

/** Role of a replica. */
export type ReplicaRole = 'follower' | 'candidate' | 'leader' | 'learner';

/** What a replica knows of its group. */
export interface IReplicaStatus {
  readonly id: string;
  /** Random number of its data folder. */
  readonly incarnation: string;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderId: string | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly members: readonly IMember[];
}

/** A replica of the group. */
export interface IMember {
  readonly id: string;
  /** `ip:port` where it listens for its peers. */
  readonly address: string;
  /** False for a learner, which holds the log but does not vote. */
  readonly voter: boolean;
  /** Random number of its data folder, recorded when it joined: another folder is another replica. */
  readonly incarnation: string;
}

/** The replicated log as the services above it see it. */
export interface IReplicatedLog extends commonTypes.IDisposable {
  /**
   * Resolves with the state machine's result once a quorum holds the command and it is applied here.
   * Rejects with NotLeaderError (nothing was appended), BusyError (queue full, nothing appended) or
   * CommitUnknownError (leadership was lost: it may or may not be committed).
   */
  propose(command: Uint8Array): Promise<Uint8Array>;
  /** Resolves when the local state is at least as new as any acknowledged command; rejects with NotLeaderError. */
  readBarrier(): Promise<void>;
  /** Adds a learner, promotes it, or removes a member: one change at a time. */
  changeMembership(change: IMembershipChange): Promise<void>;
  status(): IReplicaStatus;
  /** Time since a peer answered this leader; undefined when this replica does not lead. */
  timeSinceAnswer(id: string): commonTypes.Millis | undefined;
  /** Fires when this replica becomes or ceases to be leader. */
  readonly onLeadership: commonTypes.IEvent<boolean>;
  /** Fires after each applied index. */
  readonly onApplied: commonTypes.IEvent<number>;
  /** Fires once when the disk failed or the log is corrupt: the replica has stopped and the process should exit. */
  readonly onFailed: commonTypes.IEvent<Error>;
}

/** One change of the group. */
export interface IMembershipChange {
  readonly action: 'add-learner' | 'promote' | 'remove';
  readonly id: string;
  /** `ip:port`, for `add-learner`. */
  readonly address?: string;
}
