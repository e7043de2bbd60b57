/** The control group rejected a command or query permanently; a retry has the same result. */
export class RejectedError extends Error {
  /** `code` is the machine-readable reason. */
  constructor(
    readonly code: string,
    message: string,
  ) {
    super(message);
    this.name = 'RejectedError';
  }
}
