/** Limit that rejected a request: pending commands or reads (`queue-full`), free disk space (`disk-full`). */
export type BusyReason = 'queue-full' | 'disk-full';

/** Thrown when a limit rejects a command or a read; nothing was appended to the log. */
export class BusyError extends Error {
  /** Builds the error for the limit in `reason`. */
  constructor(readonly reason: BusyReason) {
    super(`request rejected by the replicated log: ${reason}`);
    this.name = 'BusyError';
  }
}
