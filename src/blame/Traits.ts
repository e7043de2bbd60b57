/** Derives the traits of a request by which crashes are attributed. */
import * as crypto from 'node:crypto';
import type * as placing from '../placing/Types.js';
import type * as types from './Types.js';

/** Prompt parts beyond this number are no traits, which bounds the size of a crash record. */
const MAX_PARTS = 64;
/** Length of a fingerprint; 96 bits. */
const FINGERPRINT_HEX_DIGITS = 24;

/** The fields of a request that are the same for each resend. */
export interface IFingerprintSource {
  readonly workspace: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer;
  readonly pieceKey: string;
  readonly prompt: placing.IPrompt | undefined;
}

/**
 * Returns the hash that identifies a request and its resends.
 *
 * @example
 * const fingerprint = fingerprintOf({ ...request, workspace: workspace?.name });
 */
export function fingerprintOf(source: IFingerprintSource): string {
  const { workspace, method, host, target, body, pieceKey, prompt } = source;
  const parts = prompt?.parts.map(({ id }) => id) ?? [];
  const fields = JSON.stringify([workspace ?? null, method, host, target, pieceKey, parts]);
  return crypto
    .createHash('sha256')
    .update(fields)
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_HEX_DIGITS);
}

/**
 * Returns the traits of a request to `service`. The last prompt part belongs to the request or its session alone and is
 * no trait.
 *
 * @example
 * const { parts } = traitsOf('llm', fingerprint, request.prompt);
 */
export function traitsOf(
  service: string,
  fingerprint: string,
  prompt: placing.IPrompt | undefined,
): types.IRequestTraits {
  const shared = prompt?.parts.slice(0, -1).slice(0, MAX_PARTS) ?? [];
  const parts = new Set(shared.map(({ id }) => `part:${service}/${id}`));
  return { request: `request:${fingerprint}`, parts: [...parts] };
}
