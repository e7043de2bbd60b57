/** Hashes that name the work of a request. */
import * as crypto from 'node:crypto';
import * as requestError from '../../common/RequestError.js';

const FINGERPRINT_HEX_DIGITS = 32;

/**
 * Hash of the parts in order, 128 bits as hexadecimal.
 *
 * @example
 * fingerprint('co-op-1', 'share-summary', body);
 */
export function fingerprint(...parts: readonly (string | Uint8Array)[]): string {
  const hash = crypto.createHash('sha256');
  parts.forEach((part) => {
    // Lengths keep ('ab', 'c') and ('a', 'bc') apart.
    hash.update(`${part.length}:`);
    hash.update(part);
  });
  return hash.digest('hex').slice(0, FINGERPRINT_HEX_DIGITS);
}

/** Value at a dotted path of a JSON object; undefined when any step is missing. */
function valueAt(root: unknown, path: string): unknown {
  return path.split('.').reduce<unknown>((value, part) => {
    if (typeof value !== 'object' || value === null) {
      return undefined;
    }
    return (value as Readonly<Record<string, unknown>>)[part];
  }, root);
}

/**
 * Key of non-repeatable work: its natural key where one is declared, else the caller's key. The natural key
 * goes first, so that a second click with a fresh header is the same work.
 *
 * @throws RequestError `key-required` when there is neither, or a declared field is missing.
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
      throw keyRequired('send an Idempotency-Key header: this call may run only once', undefined);
    }
    return `header:${idempotencyKey}`;
  }
  const values = naturalKey.map((path) => valueAt(body, path));
  const missing = naturalKey.find((path, index) => !isKeyValue(values[index]));
  if (missing !== undefined) {
    const message = `the body must hold "${missing}" as text or a number: it names the work`;
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
