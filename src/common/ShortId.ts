import * as crypto from 'node:crypto';

/** Longest id that is held as it is. */
const MAX_LENGTH = 128;

/**
 * Returns a key of bounded length for an id that a caller chose, to be held longer than its request.
 *
 * @example
 * streams.set(shortId.shortIdOf(request.id), version);
 */
export function shortIdOf(id: string): string {
  return id.length <= MAX_LENGTH ? id : crypto.createHash('sha256').update(id).digest('base64url');
}
