/** Deltas between two texts: the replaced part between a common prefix and a common suffix. */
import * as crypto from 'node:crypto';

/** Describes one replaced part of a text; lengths are in UTF-16 code units. */
export interface ITextDelta {
  /** Length of the common prefix, kept from the old text. */
  readonly keepStart: number;
  /** Length of the common suffix, kept from the old text. */
  readonly keepEnd: number;
  readonly inserted: string;
  /** SHA-256 of the new text, in hexadecimal. */
  readonly sha256: string;
}

/**
 * Returns the SHA-256 of a text in hexadecimal.
 *
 * @example
 * hashText('version = 1');
 */
export function hashText(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

/**
 * Computes the delta from one text to another.
 *
 * @example
 * makeDelta('share = 1', 'share = 2'); // { keepStart: 8, keepEnd: 0, inserted: '2', … }
 */
export function makeDelta(before: string, after: string): ITextDelta {
  const shorter = Math.min(before.length, after.length);
  let keepStart = 0;
  while (keepStart < shorter && before[keepStart] === after[keepStart]) {
    keepStart += 1;
  }
  let keepEnd = 0;
  while (keepEnd < shorter - keepStart && before.at(-1 - keepEnd) === after.at(-1 - keepEnd)) {
    keepEnd += 1;
  }
  // A boundary inside a surrogate pair could not be encoded as UTF-8.
  keepStart -= splitsPair(after, keepStart) || splitsPair(before, keepStart) ? 1 : 0;
  const splitsAtEnd =
    splitsPair(after, after.length - keepEnd) || splitsPair(before, before.length - keepEnd);
  keepEnd -= splitsAtEnd ? 1 : 0;
  const inserted = after.slice(keepStart, after.length - keepEnd);
  return { keepStart, keepEnd, inserted, sha256: hashText(after) };
}

/**
 * Applies a delta; returns the new text, or undefined when the delta was computed from a different old text.
 *
 * @example
 * applyDelta('share = 1', makeDelta('share = 1', 'share = 2')); // 'share = 2'
 */
export function applyDelta(before: string, delta: ITextDelta): string | undefined {
  const suffix = before.slice(before.length - delta.keepEnd);
  const text = before.slice(0, delta.keepStart) + delta.inserted + suffix;
  return hashText(text) === delta.sha256 ? text : undefined;
}

function splitsPair(text: string, at: number): boolean {
  const unit = text.charCodeAt(at);
  return at > 0 && at < text.length && unit >= 0xdc00 && unit <= 0xdfff;
}
