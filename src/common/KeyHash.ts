/**
 * Creates and verifies the API keys of workspaces and operators. The text of a key is `avd_<id>_<secret>`:
 * the id selects the stored hash, the secret holds 256 random bits. One salted SHA-256 protects such a secret
 * sufficiently and is cheap enough to compute on each request; a slow hash would only protect secrets that can
 * be guessed.
 */
import * as crypto from 'node:crypto';

/** The stored form of a key, which does not contain the secret. */
export interface IStoredKey {
  /** Public part of the key, by which the stored key is looked up. */
  readonly id: string;
  /** Salt, hexadecimal. */
  readonly salt: string;
  /** SHA-256 of salt and secret, hexadecimal. */
  readonly hash: string;
}

/** The two parts of the text of a key. */
export interface IKeyParts {
  readonly id: string;
  readonly secret: string;
}

/** A new key: `text` is shown to the user once, `stored` is written to the declaration or settings. */
export interface INewKey {
  readonly text: string;
  readonly stored: IStoredKey;
}

const ID_BYTES = 6;
const SALT_BYTES = 16;
const SECRET_BYTES = 32;
const KEY_PATTERN = /^avd_([a-z0-9-]{1,64})_([0-9a-f]{64})$/;

/**
 * Returns the SHA-256 of salt and secret in hexadecimal. The salt is hexadecimal.
 *
 * @example
 * hashSecret('00ff', 'ab'.repeat(32));
 */
export function hashSecret(salt: string, secret: string): string {
  return crypto.createHash('sha256').update(Buffer.from(salt, 'hex')).update(secret).digest('hex');
}

/**
 * Splits the text of a key into its parts; returns undefined when the text is not a valid key.
 *
 * @example
 * parseKey(`avd_3f9c_${'ab'.repeat(32)}`); // { id: '3f9c', secret: 'abab…' }
 */
export function parseKey(text: string): IKeyParts | undefined {
  const match = KEY_PATTERN.exec(text);
  const [, id, secret] = match ?? [];
  return id === undefined || secret === undefined ? undefined : { id, secret };
}

/**
 * Returns whether the secret matches the stored key. The comparison takes constant time.
 *
 * @example
 * verifyKey(stored, parts.secret);
 */
export function verifyKey(stored: IStoredKey, secret: string): boolean {
  const expected = Buffer.from(stored.hash, 'hex');
  const actual = Buffer.from(hashSecret(stored.salt, secret), 'hex');
  return expected.length === actual.length && crypto.timingSafeEqual(expected, actual);
}

/**
 * Creates a key with a secret from the cryptographic random source; without `id` the id is random, too.
 *
 * @example
 * const key = newKey();
 * console.log(key.text);
 */
export function newKey(id = crypto.randomBytes(ID_BYTES).toString('hex')): INewKey {
  const secret = crypto.randomBytes(SECRET_BYTES).toString('hex');
  const salt = crypto.randomBytes(SALT_BYTES).toString('hex');
  return { text: `avd_${id}_${secret}`, stored: { id, salt, hash: hashSecret(salt, secret) } };
}
