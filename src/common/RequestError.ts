import * as refusals from './Refusals.js';
import type * as types from './Types.js';

/** Details of a refusal or failure in addition to its code. */
export interface IRequestErrorOptions {
  /** Whether the request reached an endpoint. */
  readonly run: refusals.RunState;
  /** Name of the offending field or header. */
  readonly param?: string;
  /** Milliseconds that the caller should wait before it retries. */
  readonly retryAfter?: types.Millis;
  /** The underlying error. */
  readonly cause?: unknown;
}

/** Ends a request without an answer; the caller gets an error response built from this error. */
export class RequestError extends Error {
  /** Whether the request reached an endpoint. */
  readonly run: refusals.RunState;

  /** Name of the offending field or header. */
  readonly param: string | undefined;

  /** Milliseconds that the caller should wait before it retries. */
  readonly retryAfter: types.Millis | undefined;

  /** Creates an error for `code`; `message` tells the caller how to proceed. */
  constructor(
    readonly code: refusals.RefusalCode,
    message: string,
    options: IRequestErrorOptions,
  ) {
    super(message, { cause: options.cause });
    this.name = 'RequestError';
    this.run = options.run;
    this.param = options.param;
    this.retryAfter = options.retryAfter;
  }

  /** HTTP status that belongs to the code. */
  get status(): number {
    return refusals.REFUSALS[this.code].status;
  }

  /** Value of `error.type` that belongs to the code. */
  get type(): string {
    return refusals.REFUSALS[this.code].type;
  }
}
