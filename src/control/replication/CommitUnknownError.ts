/**
 * Thrown when leadership ends before the commit of an appended entry is confirmed; the entry may or may not be
 * committed.
 */
export class CommitUnknownError extends Error {
  /** Builds the error for the entry at `index` of `term`. */
  constructor(
    readonly index: number,
    readonly term: number,
  ) {
    super(`entry ${index} of term ${term} may or may not be committed: leadership was lost`);
    this.name = 'CommitUnknownError';
  }
}
