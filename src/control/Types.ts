/** Interfaces between the log, replication, state and services of the control process. */
import type * as commonTypes from '../common/Types.js';

/** Deterministic state machine fed by the replicated log. Commands carry the time; it reads no clock. */
export interface IStateMachine {
  /** Applies the committed command at `index` and returns its encoded result. */
  apply(index: number, command: Uint8Array): Uint8Array;
  /** Returns the encoded complete state. */
  snapshot(): Uint8Array;
  /** Replaces the complete state with one returned by `snapshot`. */
  restore(snapshot: Uint8Array): void;
}

/** Role of a replica in its group; a learner stores the log and does not vote. */
export type ReplicaRole = 'follower' | 'candidate' | 'leader' | 'learner';

/** View that a replica has of itself and its group. */
export interface IReplicaStatus {
  readonly id: string;
  /** Random id of the replica's data folder. */
  readonly incarnation: string;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderId: string | undefined;
  /** True while the replica leads or has heard from the leader within the minimum election timeout. */
  readonly hasLeader: boolean;
  /** True when its log lists its incarnation as a voter. */
  readonly isVoter: boolean;
  /**
   * True when it leads, a quorum has answered it within an election timeout, and its state includes all commands that
   * were acknowledged before its term.
   */
  readonly isStateCurrent: boolean;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly members: readonly IMember[];
  /**
   * Id of the member that has last sent a request to an earlier incarnation of this replica, whose data folder is gone;
   * absent if none has.
   */
  readonly earlierIncarnationCaller?: string;
}

/** A member of the group. */
export interface IMember {
  readonly id: string;
  /** `ip:port` on which the member listens for its peers. */
  readonly address: string;
  /** False for a learner, which stores the log but does not vote. */
  readonly voter: boolean;
  /** Random id of the data folder, recorded when the member joined; a different data folder is a different member. */
  readonly incarnation: string;
}

/** A replica that takes part in founding the group. */
export interface IFoundingMember {
  readonly id: string;
  /** `ip:port` where the replica listens for its peers. */
  readonly address: string;
}

/** Interface of the replicated log to the services built on it. */
export interface IReplicatedLog extends commonTypes.IDisposable {
  /**
   * Resolves with the state machine's result once a quorum stores the command and this replica has applied it.
   * Rejects with NotLeaderError (nothing was appended), BusyError (the queue is full, nothing was appended) or
   * CommitUnknownError (leadership was lost; the command may or may not be committed).
   */
  propose(command: Uint8Array): Promise<Uint8Array>;
  /** Resolves once the local state includes every command acknowledged so far; rejects with NotLeaderError. */
  readBarrier(): Promise<void>;
  /** Adds a learner, promotes a learner or removes a member; one change at a time. */
  changeMembership(change: IMembershipChange): Promise<void>;
  /** Returns this replica's own view, which no quorum has confirmed. */
  status(): IReplicaStatus;
  /**
   * Milliseconds since the last request that the peer answered was sent; undefined when this replica is not the
   * leader.
   */
  timeSinceAnswer(id: string): commonTypes.Millis | undefined;
  /** Fires true when this replica becomes the leader, false when it is no longer the leader. */
  readonly onLeadership: commonTypes.IEvent<boolean>;
  /** Fires with the index after each applied command. */
  readonly onApplied: commonTypes.IEvent<number>;
  /** Fires once on a disk failure or a corrupt log; the replica has stopped and the process should exit. */
  readonly onFailed: commonTypes.IEvent<Error>;
}

/** A change of the group's membership. */
export interface IMembershipChange {
  readonly action: 'add-learner' | 'promote' | 'remove';
  readonly id: string;
  /** `ip:port` of the new member; only for `add-learner`. */
  readonly address?: string;
}
