/** Tells how much of a coordinator a request needs. */
import type * as types from './Types.js';

/**
 * Whether a request has several stages, so that its results hold room until later stages take them.
 *
 * @example
 * isChain(req); // true for items in two stages or more
 */
export function isChain({ pieces }: types.IPlanRequest): boolean {
  return pieces.filter((count) => count > 0).length > 1;
}
