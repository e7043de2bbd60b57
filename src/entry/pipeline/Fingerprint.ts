/** Fingerprints of requests and ledger keys of non-repeatable calls. */
import * as crypto from 'node:crypto';
import * as requestError from '../../common/RequestError.js';

const FINGERPRINT_HEX_DIGITS = 32;

/**
 * Hashes the parts in order with SHA-256, truncated to 128 bits and written as 32 hexadecimal digits.
 *
 * @example
 * fingerprint('co-op-1', 'share-summary', body);
 */
export function fingerprint(...parts: readonly (string | Uint8Array)[]): string {
  const hash = crypto.createHash('sha256');
  parts.forEach((part) => {
    // The length prefixes make ('ab', 'c') and ('a', 'bc') hash differently.
    hash.update(`${part.length}:`);
    hash.update(part);
  });
  return hash.digest('hex').slice(0, FINGERPRINT_HEX_DIGITS);
}

/** Returns the value at a dotted path of a JSON object; undefined when a segment of the path is missing. */
function valueAtPath(root: unknown, path: string): unknown {
  return path.split('.').reduce<unknown>((value, part) => {
    if (typeof value !== 'object' || value === null) {
      return undefined;
    }
    return (value as Readonly<Record<string, unknown>>)[part];
  }, root);
}

/**
 * Returns the ledger key of a non-repeatable call: the natural key where one is declared, otherwise the caller's
 * `Idempotency-Key`. The natural key takes precedence, so that a second click that sends a new header still
 * counts as the same call.
 *
 * @throws RequestError `key-required` when neither key is present, or a declared field is missing.
 * @example
 * ledgerKey(['account', 'document'], { account: 'A1', document: 7 }, undefined); // 'natural:["A1",7]'
 */
export function ledgerKey(
  naturalKey: readonly string[],
  body: unknown,
  idempotencyKey: string | undefined,
): string {
  if (naturalKey.length === 0) {
    if (idempotencyKey === undefined) {
      throw keyRequired(
        'send an Idempotency-Key header: this call must run at most once',
        undefined,
      );
    }
    return `header:${idempotencyKey}`;
  }
  const values = naturalKey.map((path) => valueAtPath(body, path));
  const missing = naturalKey.find((path, index) => !isKeyValue(values[index]));
  if (missing !== undefined) {
    const message = `the body must contain "${missing}" as text or a number: it is part of the natural key`;
    throw keyRequired(message, missing);
  }
  return `natural:${JSON.stringify(values.map(String))}`;
}

function isKeyValue(value: unknown): boolean {
  return (typeof value === 'string' && value !== '') || typeof value === 'number';
}

function keyRequired(message: string, param: string | undefined): requestError.RequestError {
  return new requestError.RequestError('key-required', message, {
    run: 'not-run',
    param: param ?? 'Idempotency-Key',
  });
}
