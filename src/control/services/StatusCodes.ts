/** Maps errors of the control process to gRPC statuses; ControlClient evaluates them. */
import * as grpc from '@grpc/grpc-js';
import * as findingsError from '../../common/FindingsError.js';
import * as busy from '../replication/BusyError.js';
import * as membershipError from '../replication/MembershipError.js';
import * as notLeader from '../replication/NotLeaderError.js';
import * as notAuthorized from './NotAuthorizedError.js';

/** Metadata key that carries the leader's `ip:port`; the value is empty when the leader is unknown. */
export const LEADER_ADDRESS = 'leader-address';

/**
 * Returns the gRPC status of an error. FAILED_PRECONDITION and RESOURCE_EXHAUSTED guarantee that nothing was
 * appended to the log.
 *
 * @example
 * callback(toStatus(err));
 */
export function toStatus(err: unknown): Partial<grpc.StatusObject> {
  const details = err instanceof Error ? err.message : String(err);
  if (err instanceof notLeader.NotLeaderError) {
    const metadata = new grpc.Metadata();
    metadata.set(LEADER_ADDRESS, err.leaderAddress ?? '');
    return { code: grpc.status.FAILED_PRECONDITION, details, metadata };
  }
  if (err instanceof busy.BusyError) {
    return { code: grpc.status.RESOURCE_EXHAUSTED, details };
  }
  if (err instanceof notAuthorized.NotAuthorizedError) {
    return { code: grpc.status.PERMISSION_DENIED, details };
  }
  const invalidRequestErrors = [
    findingsError.FindingsError,
    membershipError.MembershipError,
    RangeError,
  ];
  if (invalidRequestErrors.some((type) => err instanceof type)) {
    return { code: grpc.status.INVALID_ARGUMENT, details };
  }
  return { code: grpc.status.UNKNOWN, details };
}
