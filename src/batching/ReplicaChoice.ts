/** Chooses which endpoints of a stage service take the next call, and in which order; estimates when they take one. */
import type * as stageReplica from './StageReplica.js';
import type * as commonTypes from '../common/Types.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as routing from '../routing/Types.js';

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
 * Sorts endpoints by speed, then by zone (that of the most urgent group's inputs first), then by weight, the highest
 * first, then by free room.
 *
 * @example
 * const [first] = rankReplicas(usable, group.preferredZone);
 */
export function rankReplicas(
  replicas: readonly stageReplica.StageReplica[],
  preferredZone: string | undefined,
  weightOf: (endpointId: string) => number = () => 0,
): readonly stageReplica.StageReplica[] {
  const zoneRank = (replica: stageReplica.StageReplica): number =>
    replica.endpoint.availabilityZone === preferredZone ? 0 : 1;
  const slowdownRank = (replica: stageReplica.StageReplica): number =>
    Math.round(replica.slowdown * 2);
  return [...replicas].sort(
    (a, b) =>
      slowdownRank(a) - slowdownRank(b) ||
      zoneRank(a) - zoneRank(b) ||
      weightOf(b.endpoint.id) - weightOf(a.endpoint.id) ||
      b.freeBytes - a.freeBytes,
  );
}

/**
 * Returns the time until an endpoint may be called: until its backoff or pause ends and its rate limit allows a call.
 *
 * @example
 * const delay = timeUntilCallable(replica, rateLimiter, clock.monotonic());
 */
export function timeUntilCallable(
  replica: stageReplica.StageReplica,
  rateLimiter: rateLimits.IEndpointRateLimiter,
  now: commonTypes.Millis,
): commonTypes.Millis {
  return Math.max(replica.remainingBlock(now), rateLimiter.delayOf(replica.endpoint.id));
}

/**
 * Returns the slowdown of an endpoint; at least such that its full calls last as long as the time between two calls that
 * its rate limit allows.
 *
 * @example
 * const slowdowns = replicas.map((replica) => effectiveSlowdown(replica, limits, rateLimiter));
 */
export function effectiveSlowdown(
  { endpoint, slowdown }: stageReplica.StageReplica,
  { callCost, itemCost, maxItemsPerCall }: routing.IBatchLimits,
  rateLimiter: rateLimits.IEndpointRateLimiter,
): number {
  const rate = rateLimiter.rateOf(endpoint.id);
  const fullCallTime = callCost + itemCost * maxItemsPerCall;
  return rate === undefined ? slowdown : Math.max(slowdown, 1000 / rate / fullCallTime);
}
