/** Chooses which endpoints of a stage service take the next call, and in which order. */
import type * as stageReplica from './StageReplica.js';
import type * as commonTypes from '../common/Types.js';

/**
 * Returns the endpoints that may be called: those that are bypassed as slow only if every other one is failing.
 *
 * @example
 * const usable = usableReplicas([...replicas.values()], clock.monotonic());
 */
export function usableReplicas(
  replicas: readonly stageReplica.StageReplica[],
  now: commonTypes.Millis,
): readonly stageReplica.StageReplica[] {
  const preferred = replicas.filter((replica) => !replica.isBypassed(now));
  return preferred.some((replica) => !replica.isBackingOff(now)) ? preferred : replicas;
}

/**
 * Sorts endpoints by speed, then by zone (that of the most urgent group's inputs first), then by free room.
 *
 * @example
 * const [first] = rankReplicas(usable, group.preferredZone);
 */
export function rankReplicas(
  replicas: readonly stageReplica.StageReplica[],
  preferredZone: string | undefined,
): readonly stageReplica.StageReplica[] {
  const zoneRank = (replica: stageReplica.StageReplica): number =>
    replica.endpoint.availabilityZone === preferredZone ? 0 : 1;
  const slowdownRank = (replica: stageReplica.StageReplica): number =>
    Math.round(replica.slowdown * 2);
  return [...replicas].sort(
    (a, b) =>
      slowdownRank(a) - slowdownRank(b) || zoneRank(a) - zoneRank(b) || b.freeBytes - a.freeBytes,
  );
}
