/** Patches between two texts that differ in any number of places, such as two versions of a JSON document. */
import * as textDelta from './TextDelta.js';

/** A part of the new text: a range `[start, length]` of the old text in UTF-16 code units, or inserted text. */
export type PatchPart = readonly [start: number, length: number] | string;

/** The parts of a new text, in order. */
export interface ITextPatch {
  readonly parts: readonly PatchPart[];
  /** SHA-256 of the new text, in hexadecimal. */
  readonly digest: string;
}

interface IPiece {
  readonly start: number;
  readonly text: string;
}

/** A piece ends after one of these characters, which end the records of JSON and the lines of other formats. */
const PIECE = /[^}\]\n]*[}\]\n]?/g;

/**
 * Computes the patch from one text to another. It is short when most records or lines of the new text are also in the old
 * one.
 *
 * @example
 * makePatch('[{"a":1},{"b":2}]', '[{"a":1},{"b":3}]').parts; // [[0, 8], ',{"b":3}', [16, 1]]
 */
export function makePatch(before: string, after: string): ITextPatch {
  const oldPieces = splitPieces(before);
  const positions = new Map(oldPieces.map(({ text }, index) => [text, index]));
  const parts: PatchPart[] = [];
  let next = 0;
  splitPieces(after).forEach(({ text }) => {
    const index = oldPieces[next]?.text === text ? next : positions.get(text);
    const piece = index === undefined ? undefined : oldPieces[index];
    if (piece === undefined || index === undefined) {
      appendText(parts, text);
    } else {
      appendRange(parts, piece.start, text.length);
      next = index + 1;
    }
  });
  return { parts, digest: textDelta.hashText(after) };
}

/**
 * Applies a patch; returns the new text, or undefined when the patch was computed from a different old text.
 *
 * @example
 * applyPatch('[{"a":1}]', makePatch('[{"a":1}]', '[{"a":2}]')); // '[{"a":2}]'
 */
export function applyPatch(before: string, patch: ITextPatch): string | undefined {
  const text = patch.parts
    .map((part) => (typeof part === 'string' ? part : before.slice(part[0], part[0] + part[1])))
    .join('');
  return textDelta.hashText(text) === patch.digest ? text : undefined;
}

function splitPieces(text: string): readonly IPiece[] {
  let start = 0;
  return (text.match(PIECE) ?? [])
    .filter((piece) => piece !== '')
    .map((piece) => {
      const at = start;
      start += piece.length;
      return { start: at, text: piece };
    });
}

function appendText(parts: PatchPart[], text: string): void {
  const last = parts.at(-1);
  if (typeof last === 'string') {
    parts.splice(-1, 1, last + text);
  } else {
    parts.push(text);
  }
}

function appendRange(parts: PatchPart[], start: number, length: number): void {
  const last = parts.at(-1);
  if (last !== undefined && typeof last !== 'string' && last[0] + last[1] === start) {
    parts.splice(-1, 1, [last[0], last[1] + length]);
  } else {
    parts.push([start, length]);
  }
}
