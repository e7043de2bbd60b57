/** Stable bounded subsets of large pools, by rendezvous hashing. */
import type * as configTypes from '../../config/Types.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a hash of a text with a final avalanche step. */
function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

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
      .map((endpoint) => ({ endpoint, score: hash(`${entryId}/${endpoint.name}`) }))
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
