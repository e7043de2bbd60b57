/** Encodes and validates the JSON bodies exchanged with stages. */
import * as zod from 'zod';
import * as requestError from '../../../common/RequestError.js';

/** Encodes a value as a UTF-8 JSON body. */
export function encode(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value), 'utf8');
}

/**
 * Decodes the JSON answer of a stage and validates it against a schema.
 *
 * @throws RequestError `endpoint-failed` when the answer is not JSON or does not match the schema.
 */
export function decode<T>(body: Uint8Array, schema: zod.ZodType<T>): T {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch (err) {
    throw malformedAnswer('is not JSON', err);
  }
  const result = schema.safeParse(value);
  if (!result.success) {
    throw malformedAnswer(zod.prettifyError(result.error), result.error);
  }
  return result.data;
}

function malformedAnswer(detail: string, cause: unknown): requestError.RequestError {
  const message = `a stage returned a malformed answer: ${detail}`;
  return new requestError.RequestError('endpoint-failed', message, { run: 'run', cause });
}
