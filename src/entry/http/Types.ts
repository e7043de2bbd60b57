/** Contracts of the caller interface. */
import type * as commonTypes from '../../common/Types.js';

/** Limits of the caller interface. */
export interface ICallerOptions {
  /** Maximum size of a request body, bytes. */
  readonly maxBodyBytes: number;
  /** Maximum total size of the request headers, bytes. */
  readonly maxHeaderBytes: number;
  /** Time limit for receiving the request headers, milliseconds. */
  readonly headersTimeout: commonTypes.Millis;
  /** Time limit for receiving the complete request, milliseconds. */
  readonly requestTimeout: commonTypes.Millis;
  /** Time that an idle connection stays open, milliseconds. */
  readonly keepAliveTimeout: commonTypes.Millis;
}

/** Default limits of the caller interface. */
export const DEFAULT_CALLER_OPTIONS: ICallerOptions = {
  maxBodyBytes: 4 * 1024 * 1024,
  maxHeaderBytes: 16 * 1024,
  headersTimeout: 10_000,
  requestTimeout: 30_000,
  keepAliveTimeout: 65_000,
};

/** Validated values of the headers that callers may set. */
export interface ICallerHeaders {
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
  /** Time limit set by the caller, milliseconds from arrival; undefined to use the declared deadline. */
  readonly deadlineMs: commonTypes.Millis | undefined;
}
