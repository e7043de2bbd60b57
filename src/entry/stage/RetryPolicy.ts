/** When a failed attempt is followed by another. */
import * as pattern from 'ts-pattern';
import type * as refusals from '../../common/Refusals.js';
import type * as entryTypes from '../Types.js';

/** What is known when an attempt has failed. */
export interface IFailedAttempt {
  readonly failure: entryTypes.EndpointFailure;
  /** Whether the call may run twice. */
  readonly repeatable: boolean;
  /** Whether a byte of the call may have reached the endpoint. */
  readonly sent: boolean;
  /** Whether the endpoint was found to have crashed. */
  readonly crashed: boolean;
}

/** `free`: send again without a token, `paid`: only with a token of the retry budget, `none`: give up. */
export type RetryPermission = 'free' | 'paid' | 'none';

/**
 * The leave to send again. A call of which no byte was written may always go elsewhere, and no endpoint
 * worked for it; work lost with a crashed endpoint is replaced rather than added; all else costs a token.
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

/** The reason under which a retry after this failure is counted. */
export function retryReason(failure: entryTypes.EndpointFailure): refusals.RetryReason {
  return failure === 'cancelled' ? 'connection-lost' : failure;
}
