/** Stable bounded subsets of large pools, by rendezvous hashing. */
import * as rendezvousHash from '../../common/RendezvousHash.js';
import type * as configTypes from '../../config/Types.js';

function byZone(
  endpoints: readonly configTypes.IEndpoint[],
): ReadonlyMap<string, readonly configTypes.IEndpoint[]> {
  const zones = new Map<string, configTypes.IEndpoint[]>();
  endpoints.forEach((endpoint) => {
    const zone = zones.get(endpoint.zone) ?? [];
    zone.push(endpoint);
    zones.set(endpoint.zone, zone);
  });
  return zones;
}

/**
 * Returns the endpoints that the entry VM `entryId` watches: all of a pool with up to `size` endpoints, else
 * the `size` endpoints with the highest rendezvous hash, balanced over the availability zones. Adding or
 * removing one endpoint changes at most one member of the subset, and each endpoint is watched by about the
 * same number of VMs.
 *
 * @example
 * const watched = chooseSubset('entry-3', pool.endpoints, 48);
 */
export function chooseSubset(
  entryId: string,
  endpoints: readonly configTypes.IEndpoint[],
  size: number,
): readonly configTypes.IEndpoint[] {
  if (endpoints.length <= size) {
    return endpoints;
  }
  const rankedByZone = [...byZone(endpoints).values()].map((zone) =>
    zone
      .map((endpoint) => ({ endpoint, score: rendezvousHash.hash(`${entryId}/${endpoint.name}`) }))
      .sort((a, b) => b.score - a.score)
      .map((item) => item.endpoint),
  );
  const chosen: configTypes.IEndpoint[] = [];
  for (let rank = 0; chosen.length < size; rank++) {
    rankedByZone.forEach((zone) => {
      const endpoint = zone[rank];
      if (endpoint && chosen.length < size) {
        chosen.push(endpoint);
      }
    });
  }
  return chosen;
}
