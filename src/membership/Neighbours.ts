/** Selects the peers with which one entry VM exchanges digests. */
import type * as types from './Types.js';

function byId(a: types.IPeer, b: types.IPeer): number {
  if (a.id === b.id) {
    return 0;
  }
  return a.id < b.id ? -1 : 1;
}

/**
 * Returns all peers when there are at most `count`; otherwise the peers at distances 1, 2, 4, … on a ring of all
 * VMs sorted by id. An update reaches all N VMs in about log2(N) hops, and each VM is the neighbour of as many
 * VMs as it has neighbours.
 *
 * @example
 * const chosen = chooseNeighbours('entry-3', peers, 12);
 */
export function chooseNeighbours(
  self: string,
  peers: readonly types.IPeer[],
  count: number,
): readonly types.IPeer[] {
  if (peers.length <= count) {
    return peers;
  }
  const ring = [...peers, { id: self, address: '' }].sort(byId);
  const position = ring.findIndex((peer) => peer.id === self);
  const chosen = new Set<types.IPeer>();
  for (let distance = 1; distance < ring.length && chosen.size < count; distance *= 2) {
    const peer = ring[(position + distance) % ring.length];
    if (peer && peer.id !== self) {
      chosen.add(peer);
    }
  }
  return [...chosen];
}
