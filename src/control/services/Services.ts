/** Interfaces of the services inside the control process. */
import type * as control from '#wire/control.js';
import type * as commonTypes from '../../common/Types.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as stateTypes from '../state/Types.js';

/** Who sent a call. */
export interface ICaller {
  /** Name for the audit trail. */
  readonly name: string;
  /** Whether it may do what only operators may. */
  readonly operator: boolean;
}

/** Tells operators from others. */
export interface IOperatorService {
  /** Whose key this is; throws NotAuthorizedError for an unknown one. */
  identify(key: string | undefined): ICaller;
}

/** Puts commands into the log. */
export interface ICommandService {
  /** Checks and proposes a command stamped with the time of now; rejects as IReplicatedLog.propose does. */
  execute(command: stateTypes.Command, caller: ICaller): Promise<Uint8Array>;
  /** Proposes a command of the control process itself. */
  propose(command: control.wire.Command.$Properties): Promise<Uint8Array>;
}

/** Reads the state. */
export interface IQueryService {
  /** Answers once a quorum confirmed that the state is current; rejects as IReplicatedLog.readBarrier does. */
  query(
    query: messages.Message<control.wire.Query.$Properties>,
  ): Promise<control.wire.Answer.$Properties>;
}

/** Leases of entry processes. */
export interface ILeaseService extends commonTypes.IDisposable {
  /** Resolves once a quorum holds the renewal. */
  renew(req: messages.Message<control.wire.HeartbeatRequest.$Properties>): Promise<void>;
  /** Version in force at an entry as it last told this leader; 0 when it did not. */
  versionInForce(incarnation: string): number;
}
