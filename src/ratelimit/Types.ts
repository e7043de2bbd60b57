/** Contracts for the request rates that endpoints name for all VMs together. */
import type * as commonTypes from '../common/Types.js';

/**
 * How far a response can be trusted: an `answer` is authentic, a `rejection` states that the request was not executed,
 * and anything else is `unverified`, for example a response of another endpoint at the same address.
 */
export type StatementOrigin = 'answer' | 'rejection' | 'unverified';

/** What one response says about the rate limit of its endpoint. */
export interface IRateLimitStatement {
  readonly endpointId: string;
  /**
   * Requests per second that the endpoint accepts from all VMs together; `none` if the response names no limit, and
   * `unreadable` if it names one that cannot be decoded.
   */
  readonly limit: number | 'none' | 'unreadable';
  readonly origin: StatementOrigin;
  /** Time, on the monotonic clock, at which the request was sent. */
  readonly sentAt: commonTypes.Millis;
}

/** Kind of a call to an endpoint: a caller's request, a batch of stage items, or the release of stage results. */
export type CallKind = 'request' | 'stage' | 'release';

/** Observes the calls of this VM to endpoints. */
export interface ICallObserver {
  /** Records that a call leaves for an endpoint. */
  recordCall(endpointId: string, kind: CallKind): void;
  /** Records what a response says about the rate limit of its endpoint. */
  recordStatement(statement: IRateLimitStatement): void;
}
