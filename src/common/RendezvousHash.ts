/** Hash for rendezvous hashing, which spreads keys evenly and moves few of them when a target comes or goes. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * 32-bit FNV-1a hash of a text with a final avalanche step.
 *
 * @example
 * const ranked = targets.sort((a, b) => hash(`${key}/${b}`) - hash(`${key}/${a}`));
 */
export function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
