/** Services of the entry process that communicate with other processes. */
import type * as commonTypes from '../../common/Types.js';
import type * as refusals from '../../common/Refusals.js';
import type * as configTypes from '../../config/Types.js';

/** The configuration in force on this VM. */
export interface IConfigurationService extends commonTypes.IDisposable {
  /** Newest configuration received; undefined before the first. Its version never decreases. */
  readonly current: configTypes.IConfiguration | undefined;
  /** Whether the control group confirmed `current`, or it is the newest version among the peers. */
  readonly ready: boolean;
  /** Whether the control group has lately named no newer version than `current`. */
  readonly isCurrent: boolean;
  /** Fires on each newer configuration. */
  readonly onChange: commonTypes.IEvent<configTypes.IConfiguration>;
}

/** Intent to run a non-repeatable call, recorded before the call. */
export interface IIntent {
  readonly workspace: string;
  /** Name of the service route or pipeline. */
  readonly target: string;
  /** Idempotency key or natural key. */
  readonly key: string;
  /** Hash of the body: the same key with another body is refused. */
  readonly bodyHash: string;
  /** Time at which the caller first created the key, if the caller states it; wall-clock milliseconds. */
  readonly createdAt: commonTypes.Millis;
  /** Id of the request that made the call. */
  readonly requestId: string;
}

/** An answer recorded in the ledger. */
export interface IRecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Set when the body was not stored; `body` is then a JSON note of this. */
  readonly omitted?: IOmittedBody;
}

/** Size and hash of a body that was too large to store. */
export interface IOmittedBody {
  readonly bytes: number;
  /** SHA-256 of the body, hexadecimal. */
  readonly sha256: string;
}

/** Decision of the ledger on an intent. */
export type LedgerDecision =
  | { readonly state: 'granted'; readonly token: string }
  | { readonly state: 'running' }
  | { readonly state: 'finished'; readonly answer: IRecordedAnswer }
  | { readonly state: 'unknown' }
  | { readonly state: 'too-old' }
  | { readonly state: 'key-reused' };

/** Outcome of a granted call. */
export type LedgerOutcome =
  | { readonly state: 'finished'; readonly answer: IRecordedAnswer }
  /** No byte was written to any endpoint; the key may be used again. */
  | { readonly state: 'not-run' }
  | { readonly state: 'unknown' };

/** The at-most-once ledger, replicated by the control group. */
export interface ILedgerService {
  /** Resolves after a quorum recorded the intent; rejects with LedgerUnavailableError without a quorum. */
  begin(intent: IIntent, signal: AbortSignal): Promise<LedgerDecision>;
  /** Waits until the running call of a key ends or the signal aborts, and resolves with the decision at that time. */
  wait(intent: IIntent, signal: AbortSignal): Promise<LedgerDecision>;
  /** Records the outcome of a granted call; rejects with LedgerUnavailableError. */
  finish(intent: IIntent, token: string, outcome: LedgerOutcome): Promise<void>;
}

/** Quarantine of requests that crash endpoints. */
export interface IQuarantineService {
  /** Whether requests with this fingerprint are refused. */
  isQuarantined(fingerprint: string): boolean;
  /** Whether the fingerprint was in flight during one crash and must run in isolation. */
  isSuspect(fingerprint: string): boolean;
  /** Reports to the control group that an endpoint crashed with these requests in flight. */
  reportCrash(endpoint: string, fingerprints: readonly string[]): Promise<void>;
}

/** One finished request, for accounting. */
export interface IRequestRecord {
  readonly workspace: string;
  readonly target: string;
  readonly kind: string;
  readonly outcome: 'in-time' | 'late' | 'unknown' | refusals.RefusalCode;
  /** Milliseconds from arrival to the last byte. */
  readonly latency: commonTypes.Millis;
  /** Cost by stage, in the cost unit of the declaration. */
  readonly costs: readonly IStageCost[];
}

/** Cost of one stage of one request, summed over all attempts. */
export interface IStageCost {
  readonly stage: string;
  readonly cost: number;
  readonly attempts: number;
}

/** Aggregates finished requests into rollups that survive a restart of this process. */
export interface IAccountingService extends commonTypes.IDisposable {
  /** Adds one request to the rollups. */
  record(record: IRequestRecord): void;
}
