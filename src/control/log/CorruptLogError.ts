import type * as types from './Types.js';

/** Data in the data folder that was durable can no longer be read, so the replica must not start. */
export class CorruptLogError extends Error {
  /** Takes the fault that prevents the start. */
  constructor(readonly finding: types.IDataFinding) {
    super(`${finding.file}: offset ${finding.offset}: ${finding.what}`);
    this.name = 'CorruptLogError';
  }
}
