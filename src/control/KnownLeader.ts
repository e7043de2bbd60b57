import type * as types from './Types.js';

/**
 * Returns the id of the other replica that leads; undefined while none has made contact for an election timeout. A
 * replica that is cut off keeps the leader of its term, who may be gone for good.
 *
 * @example
 * const leaderId = otherLeaderId(log.status());
 */
export function otherLeaderId({
  id,
  leaderId,
  hasLeader,
}: Pick<types.IReplicaStatus, 'id' | 'leaderId' | 'hasLeader'>): string | undefined {
  return hasLeader && leaderId !== id ? leaderId : undefined;
}
