import * as buffer from 'node:buffer';
import * as vitest from 'vitest';
import * as notUtf8Error from './NotUtf8Error.js';
import * as seededRandom from './SeededRandom.js';
import * as utf8 from './Utf8.js';

const { expect, test } = vitest;
const PARTS = [
  'a',
  '"',
  'é',
  '\u0800',
  '\ud7ff',
  '\ue000',
  '\ufeff',
  '\ufffd',
  '\u{10000}',
  '\u{10ffff}',
];

function placeOf(bytes: Buffer): number | undefined {
  try {
    expect(Buffer.from(utf8.decodeUtf8(bytes)).equals(bytes)).toBe(true);
    return undefined;
  } catch (err) {
    if (err instanceof notUtf8Error.NotUtf8Error) {
      return err.at;
    }
    throw err;
  }
}

test('text is decoded without a change, or refused at the place where the longest prefix of characters ends', () => {
  const random = new seededRandom.SeededRandom(57);
  for (let run = 0; run < 2000; run++) {
    const parts = Array.from({ length: 6 }, () => PARTS[random.nextInt(PARTS.length)]);
    const bytes = Buffer.from(parts.join(''));
    expect(placeOf(bytes)).toBeUndefined();
    bytes[random.nextInt(bytes.length)] = random.nextInt(256);
    const place = placeOf(bytes);
    if (place !== undefined) {
      const lengths = [1, 2, 3, 4].filter((length) => place + length <= bytes.length);
      expect(buffer.isUtf8(bytes.subarray(0, place))).toBe(true);
      expect(lengths.some((n) => buffer.isUtf8(bytes.subarray(place, place + n)))).toBe(false);
    }
    expect(place === undefined).toBe(buffer.isUtf8(bytes));
  }
});

test('an incomplete last character is refused at its first byte', () => {
  expect(placeOf(Buffer.from([0x61, 0xf0, 0x9f, 0x98]))).toBe(1);
});

test.each(['', 'a', 'café', 'Žižkov', '\u{1f600}'])(
  'text survives as a string of bytes: %s',
  (text) => {
    const bytes = utf8.toByteString(text);
    expect([...bytes].every((letter) => letter.charCodeAt(0) < 256)).toBe(true);
    expect(utf8.fromByteString(bytes)).toBe(text);
  },
);

test('bytes that are not UTF-8 are one letter each', () => {
  expect(utf8.fromByteString('caf\u00e9')).toBe('caf\u00e9');
});
