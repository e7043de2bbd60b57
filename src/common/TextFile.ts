/** Decodes text files that an operator or the platform provides. */
import * as findingsError from './FindingsError.js';
import * as notUtf8Error from './NotUtf8Error.js';
import * as utf8 from './Utf8.js';

/**
 * Decodes the bytes of `file`, which is the name used in the finding; the file is not opened.
 *
 * @throws FindingsError with the place at which the bytes end to be UTF-8.
 * @example
 * const text = decodeTextFile('kalinaw.toml', fs.readFileSync('kalinaw.toml'));
 */
export function decodeTextFile(file: string, bytes: Buffer): string {
  try {
    return utf8.decodeUtf8(bytes);
  } catch (err) {
    if (err instanceof notUtf8Error.NotUtf8Error) {
      throw new findingsError.FindingsError([
        { file, path: '', message: err.message, expected: 'UTF-8' },
      ]);
    }
    throw err;
  }
}
