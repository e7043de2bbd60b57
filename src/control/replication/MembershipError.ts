/**
 * Thrown when a membership change cannot be made now, with the reason in the message. The members are unchanged.
 */
export class MembershipError extends Error {
  /** Builds the error with the reason as its message. */
  constructor(message: string) {
    super(message);
    this.name = 'MembershipError';
  }
}
