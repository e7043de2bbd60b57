/** Default timeouts and limits of a replica, and their validation. */
import type * as types from './Types.js';

const KIB = 1024;
const MIB = 1024 * KIB;

/** Defaults of all timeouts and limits. */
export const DEFAULT_TUNING: types.ITuning = {
  heartbeatMs: 100,
  electionTimeoutMs: 600,
  callTimeoutMs: 500,
  catchUpTimeoutMs: 30_000,
  maxBatchBytes: 512 * KIB,
  maxCommandBytes: MIB,
  maxPendingCommands: 4096,
  maxPendingBytes: 16 * MIB,
  maxPendingReads: 4096,
  snapshotChunkBytes: 256 * KIB,
  snapshotMinLogBytes: 64 * KIB,
  snapshotLogRatio: 0.15,
  diskReserveBytes: 64 * MIB,
};

/**
 * Fills in the defaults for the missing values of a tuning.
 *
 * @throws RangeError when a value is not positive (`diskReserveBytes` is not checked), or when the election timeout is
 * shorter than two heartbeats, so that a single lost heartbeat would start an election.
 * @example
 * const tuning = completeTuning({ heartbeatMs: 50 });
 */
export function completeTuning(tuning: Partial<types.ITuning> = {}): types.ITuning {
  const complete = { ...DEFAULT_TUNING, ...tuning };
  Object.entries(complete).forEach(([name, value]) => {
    if (!(value > 0) && name !== 'diskReserveBytes') {
      throw new RangeError(`${name} is ${value}; it must be above 0`);
    }
  });
  if (complete.electionTimeoutMs < 2 * complete.heartbeatMs) {
    throw new RangeError('electionTimeoutMs must be at least twice heartbeatMs');
  }
  return complete;
}
