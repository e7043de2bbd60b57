/** No quorum of the control group answered in time. When thrown by `begin`, nothing was granted. */
export class LedgerUnavailableError extends Error {
  /** `message` states the reason; `cause` is the underlying error, if any. */
  constructor(message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'LedgerUnavailableError';
  }
}
