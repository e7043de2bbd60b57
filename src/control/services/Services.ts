/** Interfaces of the services inside the control process. */
import type * as control from '#wire/control.js';
import type * as commonTypes from '../../common/Types.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as stateTypes from '../state/Types.js';

/** Identity of a caller. */
export interface ICaller {
  /** Name for the audit trail; empty for a caller without a key. */
  readonly name: string;
  /** Whether the caller has operator permissions. */
  readonly operator: boolean;
}

/** Identifies operators. */
export interface IOperatorService {
  /** Returns the owner of `key`; an undefined key belongs to no operator. Throws NotAuthorizedError for an unknown key. */
  identify(key: string | undefined): ICaller;
}

/** Proposes commands to the log. */
export interface ICommandService {
  /**
   * Authorizes, validates and proposes a command with the current time. Rejects with NotAuthorizedError, with
   * RangeError or FindingsError for an invalid command, and with the errors of IReplicatedLog.propose.
   */
  execute(command: stateTypes.Command, caller: ICaller): Promise<Uint8Array>;
  /** Proposes a command of the control process itself, without authorization. */
  propose(command: control.wire.Command.$Properties): Promise<Uint8Array>;
}

/** Answers queries about the state. */
export interface IQueryService {
  /**
   * Answers after a quorum has confirmed that the state is current, except for status queries, which describe
   * this replica. Rejects with the errors of IReplicatedLog.readBarrier.
   */
  query(
    query: messages.Message<control.wire.Query.$Properties>,
  ): Promise<control.wire.Answer.$Properties>;
}

/** Leases of entry processes. */
export interface ILeaseService extends commonTypes.IDisposable {
  /** Resolves once a quorum stores the renewal of the sender's lease; rejects when too many renewals are pending. */
  renew(req: messages.Message<control.wire.HeartbeatRequest.$Properties>): Promise<void>;
  /** Configuration version in force that the entry last reported to this leader; 0 before its first report. */
  versionInForce(incarnation: string): number;
}
