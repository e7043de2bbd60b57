/** No replica of the control group answered in time. */
export class ControlUnavailableError extends Error {
  /** `maybeApplied` is true when the command may have been appended to the log in spite of the error. */
  constructor(
    message: string,
    readonly maybeApplied: boolean,
    cause?: unknown,
  ) {
    super(message, { cause });
    this.name = 'ControlUnavailableError';
  }
}
