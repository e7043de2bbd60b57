/** Tells how much of a coordinator a request needs. */
import type * as types from './Types.js';

/**
 * Whether a request has several stages, so that its results hold room until later stages take them.
 *
 * @example
 * isChain({ pieces: [0, 1, 4] }); // true
 */
export function isChain({ pieces }: Pick<types.IPlanRequest, 'pieces'>): boolean {
  return pieces.filter((count) => count > 0).length > 1;
}
