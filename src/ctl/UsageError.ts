/** The command line is incomplete or invalid; `anvildeckctl` exits with EXIT_CODES.usage. */
export class UsageError extends Error {
  /** Takes the message for the operator, which names the option or argument to correct. */
  constructor(message: string) {
    super(message);
    this.name = 'UsageError';
  }
}
