/** The caller lacks the permission for a call, or its key is unknown. */
export class NotAuthorizedError extends Error {
  /** `message` is returned to the caller. */
  constructor(message: string) {
    super(message);
    this.name = 'NotAuthorizedError';
  }
}
