import * as zlib from 'node:zlib';
import * as textDelta from '../common/wire/TextDelta.js';
import * as textPatch from '../common/wire/TextPatch.js';
import type * as types from './Types.js';

/** Largest text, in bytes, that is unpacked. */
const MAX_TEXT_BYTES = 32 * 1024 * 1024;

/** The newest text of one topic that an entry VM got from a control VM, from which updates are applied. */
export class HeldText {
  private text: string | undefined;

  private heldDigest = '';

  /** SHA-256 of the text, in hexadecimal; empty without one. */
  get digest(): string {
    return this.heldDigest;
  }

  /** Holds a text that was got whole. */
  set(text: string): void {
    this.text = text;
    this.heldDigest = textDelta.hashText(text);
  }

  /** Returns the text after an update and holds it; undefined if the update is of a text that is not held. */
  apply(update: types.IUpdate): string | undefined {
    const text = this.textAfter(update);
    if (text !== undefined) {
      this.text = text;
      this.heldDigest = update.digest;
    }
    return text;
  }

  private textAfter({ packed, base, parts, digest }: types.IUpdate): string | undefined {
    if (packed !== undefined) {
      const text = unpack(packed);
      return text !== undefined && textDelta.hashText(text) === digest ? text : undefined;
    }
    if (this.text === undefined || base !== this.heldDigest || parts === undefined) {
      return undefined;
    }
    return textPatch.applyPatch(this.text, { parts, digest });
  }
}

function unpack(packed: string): string | undefined {
  try {
    const bytes = Buffer.from(packed, 'base64');
    return zlib.inflateRawSync(bytes, { maxOutputLength: MAX_TEXT_BYTES }).toString('utf8');
  } catch {
    return undefined;
  }
}
