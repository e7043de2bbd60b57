/** Decodes text that is stored or passed on. Bytes that are not UTF-8 are an error; Node's own decoding replaces them. */
import * as buffer from 'node:buffer';
import * as notUtf8Error from './NotUtf8Error.js';

/** Range of the second byte of a character where the first byte narrows it. */
const SECOND_BYTE: ReadonlyMap<number, readonly [number, number]> = new Map([
  [0xe0, [0xa0, 0xbf]],
  [0xed, [0x80, 0x9f]],
  [0xf0, [0x90, 0xbf]],
  [0xf4, [0x80, 0x8f]],
]);
const CONTINUATION: readonly [number, number] = [0x80, 0xbf];

/**
 * Decodes UTF-8. A byte order mark is kept as the character U+FEFF, so that encoding the text returns the same bytes.
 *
 * @throws NotUtf8Error with the offset of the first byte that is not UTF-8.
 * @example
 * const text = decodeUtf8(fs.readFileSync('declaration.toml'));
 */
export function decodeUtf8(bytes: Buffer): string {
  if (!buffer.isUtf8(bytes)) {
    throw new notUtf8Error.NotUtf8Error(endOfUtf8(bytes));
  }
  return bytes.toString('utf8');
}

/**
 * Decodes UTF-8 of which parts may be damaged: each byte that is not part of a character becomes U+0000, which JSON does
 * not allow, so that a parser finds the damaged part.
 *
 * @example
 * decodeDamagedUtf8(Buffer.from([0x61, 0xe9])); // 'a\0'
 */
export function decodeDamagedUtf8(bytes: Buffer): string {
  if (buffer.isUtf8(bytes)) {
    return bytes.toString('utf8');
  }
  const marked = Buffer.from(bytes);
  for (let at = 0; at < bytes.length;) {
    const length = characterLength(bytes, at);
    if (length === 0) {
      marked[at] = 0;
    }
    at += Math.max(1, length);
  }
  return marked.toString('utf8');
}

/**
 * Returns the UTF-8 of `text` with one character for each byte, which is how Node gives the target and the headers of a
 * request.
 *
 * @example
 * toByteString('\u00e9'); // '\u00c3\u00a9'
 */
export function toByteString(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

/**
 * Returns the text whose UTF-8 `bytes` holds, one character for each byte; `bytes` itself if they are not UTF-8.
 *
 * @example
 * fromByteString('\u00c3\u00a9'); // '\u00e9'
 */
export function fromByteString(bytes: string): string {
  const encoded = Buffer.from(bytes, 'latin1');
  return buffer.isUtf8(encoded) ? encoded.toString('utf8') : bytes;
}

/** Returns the offset of the first byte that is not part of a character. */
function endOfUtf8(bytes: Buffer): number {
  let at = 0;
  let length = characterLength(bytes, at);
  while (length > 0) {
    at += length;
    length = characterLength(bytes, at);
  }
  return at;
}

/** Returns the number of bytes of the character at `at`; 0 if there is none. */
function characterLength(bytes: Buffer, at: number): number {
  const first = bytes[at];
  const length = first === undefined ? 0 : lengthByFirst(first);
  const second = SECOND_BYTE.get(first ?? 0) ?? CONTINUATION;
  for (let offset = 1; offset < length; offset++) {
    const [low, high] = offset === 1 ? second : CONTINUATION;
    const byte = bytes[at + offset] ?? 0;
    if (byte < low || byte > high) {
      return 0;
    }
  }
  return length;
}

function lengthByFirst(first: number): number {
  if (first < 0x80) {
    return 1;
  }
  if (first < 0xc2 || first > 0xf4) {
    return 0;
  }
  if (first < 0xe0) {
    return 2;
  }
  return first < 0xf0 ? 3 : 4;
}
