/** Chooses the home engine of a prompt, where its shared part is most likely cached. */
import type * as engineState from './EngineState.js';
import type * as types from './Types.js';

/**
 * Returns the id of the home engine of a prompt's last shared part, or an empty string without one. Rendezvous hashing
 * (highest random weight) gives the same engine in every process with the same engines.
 *
 * @example
 * const home = homeEngineOf([...engines.values()], prompt);
 */
export function homeEngineOf(
  engines: readonly engineState.EngineState[],
  prompt: types.IPrompt,
): string {
  const sharedPartId = prompt.parts.at(-2)?.id;
  if (sharedPartId === undefined) {
    return '';
  }
  let best = '';
  let bestWeight = -1;
  engines.forEach(({ endpoint }) => {
    const weight = hashWeight(`${sharedPartId}/${endpoint.id}`);
    if (weight > bestWeight) {
      best = endpoint.id;
      bestWeight = weight;
    }
  });
  return best;
}

/** 32-bit rendezvous weight of a text: FNV-1a with a multiplicative finalizer. */
function hashWeight(text: string): number {
  let hash = 2_166_136_261;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 16_777_619);
  }
  return Math.imul(hash ^ (hash >>> 15), 2_246_822_519) >>> 0;
}
