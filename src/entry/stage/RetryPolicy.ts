/** Rules for retrying a failed attempt. */
import * as pattern from 'ts-pattern';
import type * as refusals from '../../common/Refusals.js';
import type * as entryTypes from '../Types.js';

/** Facts about a failed attempt that decide whether it is retried. */
export interface IFailedAttempt {
  readonly failure: entryTypes.EndpointFailure;
  /** Whether the call may run more than once. */
  readonly repeatable: boolean;
  /** Whether a byte of the call may have reached the endpoint. */
  readonly sent: boolean;
  /** Whether a crash of the endpoint is confirmed. */
  readonly crashed: boolean;
}

/** `free`: retry without a token; `paid`: retry only with a token of the retry budget; `none`: do not retry. */
export type RetryPermission = 'free' | 'paid' | 'none';

/**
 * Returns whether a failed attempt may be retried. A call without a byte written may always be sent to
 * another endpoint, since it caused no work. A retry of work lost with a crashed endpoint replaces load rather
 * than adding any, so it is free too. Any other retry of a repeatable call takes a token.
 *
 * @example
 * retryPermission({ failure: 'connection-lost', repeatable: false, sent: true, crashed: true }); // 'none'
 */
export function retryPermission(failed: IFailedAttempt): RetryPermission {
  return pattern
    .match<IFailedAttempt, RetryPermission>(failed)
    .with({ failure: 'cancelled' }, { failure: 'stage-timeout' }, () => 'none')
    .with({ failure: 'connect-failed', sent: false }, () => 'free')
    .with({ repeatable: false }, () => 'none')
    .with({ failure: 'connection-lost', crashed: true }, () => 'free')
    .otherwise(() => 'paid');
}

/** Returns the `reason` label of the `retry` metric for a retry after this failure. */
export function retryReason(failure: entryTypes.EndpointFailure): refusals.RetryReason {
  return failure === 'cancelled' ? 'connection-lost' : failure;
}
