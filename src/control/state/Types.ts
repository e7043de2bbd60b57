/** Data of the replicated state: decoded protobuf messages. */
import type * as control from '#wire/control.js';
import type * as messages from '../../common/wire/Messages.js';

/** A command of the state machine, the data of one log entry. */
export type Command = messages.Message<control.wire.Command.$Properties>;

/** Result of a command; exactly one field is set. */
export type Result = control.wire.Result.$Properties;

/** Request to begin a call that must not run twice. */
export type LedgerBegin = messages.Message<control.wire.LedgerBegin.$Properties>;

/** Reports the outcome of a call that `LedgerBegin` granted. */
export type LedgerFinish = messages.Message<control.wire.LedgerFinish.$Properties>;

/** Decision of an operator on a record whose outcome is unknown. */
export type LedgerResolve = messages.Message<control.wire.LedgerResolve.$Properties>;

/** Record of one call in the ledger. */
export type LedgerRecord = messages.Message<control.wire.LedgerRecord.$Properties>;

/** Answer to a call, stored for resends; only its digest when `omitted` is set. */
export type RecordedAnswer = messages.Message<control.wire.RecordedAnswer.$Properties>;

/** A version of the configuration with its text and author. */
export type Configuration = messages.Message<control.wire.Configuration.$Properties>;

/** Result of the submission of a configuration. */
export type ApplyResult = messages.Message<control.wire.ApplyResult.$Properties>;

/** Status of an entry process that holds a lease. */
export type EntryStatus = messages.Message<control.wire.EntryStatus.$Properties>;

/** A request that was in flight when one or more endpoints crashed. */
export type QuarantinedRequest = messages.Message<control.wire.QuarantinedRequest.$Properties>;

/** Request counts, latencies and costs of one period by workspace, target, kind and outcome. */
export type AccountingRow = messages.Message<control.wire.AccountingRow.$Properties>;

/** An order to the engine of an endpoint. */
export type Order = messages.Message<control.wire.Order.$Properties>;

/** One action of an operator in the audit trail. */
export type AuditEntry = messages.Message<control.wire.AuditEntry.$Properties>;

/** States of a ledger record. */
export type RecordState = 'running' | 'finished' | 'unknown';
