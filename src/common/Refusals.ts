/** Reasons for which a request is refused or fails, and reasons of retries; docs/METRICS.md is generated from them. */

/** Whether a request reached an endpoint; `not-run` guarantees that it did not. */
export type RunState = 'run' | 'not-run' | 'unknown';

/** The error response for one reason. */
export interface IRefusal {
  /** HTTP status. */
  readonly status: number;
  /** Value of `error.type`. */
  readonly type:
    | 'invalid_request'
    | 'unauthorized'
    | 'overloaded'
    | 'deadline'
    | 'upstream'
    | 'conflict'
    | 'unavailable';
  /** Condition under which callers get this error; printed in docs/METRICS.md. */
  readonly when: string;
}

/** Every `error.code` of an error response, which is also the `reason` tag of the refusal counters. */
export const REFUSALS = {
  'unknown-route': { status: 404, type: 'invalid_request', when: 'the path does not exist' },
  'unknown-pipeline': {
    status: 404,
    type: 'invalid_request',
    when: 'the pipeline or model is not declared',
  },
  'unknown-service': {
    status: 404,
    type: 'invalid_request',
    when: 'the service or its path is not declared',
  },
  'method-not-allowed': {
    status: 405,
    type: 'invalid_request',
    when: 'the path does not support this method',
  },
  'bad-key': { status: 401, type: 'unauthorized', when: 'the workspace key is missing or unknown' },
  'bad-json': { status: 400, type: 'invalid_request', when: 'the body is not JSON' },
  'bad-body': {
    status: 400,
    type: 'invalid_request',
    when: 'the body lacks a field or has one of a wrong type',
  },
  'bad-header': {
    status: 400,
    type: 'invalid_request',
    when: 'a header has an invalid value',
  },
  'body-too-large': {
    status: 413,
    type: 'invalid_request',
    when: 'the body is larger than the limit',
  },
  'request-timeout': {
    status: 408,
    type: 'invalid_request',
    when: 'the request was not complete within its time; it has not run',
  },
  'key-required': {
    status: 400,
    type: 'invalid_request',
    when: 'a non-repeatable call has no idempotency key',
  },
  'key-too-old': {
    status: 409,
    type: 'conflict',
    when: 'the idempotency key is older than the retention period of ledger records',
  },
  'key-reused': {
    status: 409,
    type: 'conflict',
    when: 'the idempotency key was used before with a different body',
  },
  'outcome-unknown': {
    status: 409,
    type: 'conflict',
    when: 'the call may have run, but its outcome is unknown',
  },
  'ledger-unavailable': {
    status: 503,
    type: 'unavailable',
    when: 'no quorum was available to record the intent of a non-repeatable call',
  },
  'deadline-past': {
    status: 504,
    type: 'deadline',
    when: 'the deadline had passed when the request arrived',
  },
  'deadline-unreachable': {
    status: 503,
    type: 'deadline',
    when: 'the stages cannot finish within the deadline',
  },
  'deadline-exceeded': {
    status: 504,
    type: 'deadline',
    when: 'the deadline passed while stages were running',
  },
  'queue-full': {
    status: 503,
    type: 'overloaded',
    when: 'the queue of the pool or workspace is full',
  },
  shed: {
    status: 503,
    type: 'overloaded',
    when: 'the request was shed from the queue under overload',
  },
  quarantined: {
    status: 422,
    type: 'invalid_request',
    when: 'the request is quarantined because it crashed endpoints before',
  },
  'no-endpoint': { status: 503, type: 'unavailable', when: 'the pool has no live endpoint' },
  draining: { status: 503, type: 'unavailable', when: 'this entry VM is shutting down' },
  'not-ready': {
    status: 503,
    type: 'unavailable',
    when: 'this entry VM has no configuration that is confirmed to be current',
  },
  'endpoint-failed': {
    status: 502,
    type: 'upstream',
    when: 'endpoints failed and no retries were left',
  },
  'answer-mismatch': {
    status: 502,
    type: 'upstream',
    when: 'an answer carried the id of another request',
  },
  'caller-gone': {
    status: 499,
    type: 'invalid_request',
    when: 'the caller closed the connection before the answer',
  },
  'stream-cut': {
    status: 502,
    type: 'upstream',
    when: 'a stream was cut off before its end and could not be resumed',
  },
  internal: { status: 500, type: 'upstream', when: 'an internal error of the entry VM' },
} as const satisfies Readonly<Record<string, IRefusal>>;

/** Code of a refusal or failure, a key of REFUSALS. */
export type RefusalCode = keyof typeof REFUSALS;

/** Reasons for which an attempt is retried or hedged, used as the `reason` tag of the retry counters. */
export const RETRY_REASONS = {
  'connect-failed': 'the connection failed before any byte was written',
  'endpoint-refused': 'the endpoint answered 429 or 503',
  'endpoint-error': 'the endpoint answered a 5xx status other than 503',
  'connection-lost': 'the connection broke before the answer was complete',
  'stage-timeout': 'the attempt took longer than its share of the deadline',
  'stream-resumed': 'a cut stream was resumed on another replica',
  'answer-mismatch': 'the answer carried the id of another request',
  hedge: 'a second attempt was started in parallel to a slow one',
} as const;

/** Reason of a retry or hedge, a key of RETRY_REASONS. */
export type RetryReason = keyof typeof RETRY_REASONS;
