import type * as entryTypes from '../Types.js';

/** Failure of an attempt whose endpoint returned no answer that may be passed to the caller. */
export class EndpointError extends Error {
  /**
   * `sent` is false only when it is certain that no byte of the call reached the endpoint; `status` is the HTTP
   * status, when one was received.
   */
  constructor(
    readonly failure: entryTypes.EndpointFailure,
    readonly endpoint: string,
    readonly sent: boolean,
    readonly status?: number,
    options?: ErrorOptions,
  ) {
    super(`${endpoint}: ${failure}${status === undefined ? '' : ` (HTTP ${status})`}`, options);
    this.name = 'EndpointError';
  }
}
