/** A write or sync failed. The durable state is then undefined, so the replica stops. */
export class StorageError extends Error {
  /** `operation` names the failed operation in the message; `cause` is the error of the disk. */
  constructor(operation: string, cause: unknown) {
    super(`${operation} failed: ${cause instanceof Error ? cause.message : String(cause)}`, {
      cause,
    });
    this.name = 'StorageError';
  }
}
