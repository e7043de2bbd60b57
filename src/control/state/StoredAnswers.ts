/** Bounds the answers that the ledger stores. */
import * as crypto from 'node:crypto';
import * as limits from './Limits.js';
import type * as types from './Types.js';

/** Replaces the body of an answer by its SHA-256 and its size in bytes. */
export function digestOf(answer: types.RecordedAnswer): types.RecordedAnswer {
  if (answer.omitted) {
    return answer;
  }
  const sha256 = crypto.createHash('sha256').update(answer.body).digest('hex');
  const { body } = answer;
  return { ...answer, body: new Uint8Array(), omitted: true, size: body.length, sha256 };
}

/** Drops a body that is too large, else copies it so that it does not retain the buffer of its message. */
export function boundAnswer(answer: types.RecordedAnswer): types.RecordedAnswer {
  if (answer.omitted || answer.body.length > limits.LIMITS.maxAnswerBytes) {
    return digestOf(answer);
  }
  return { ...answer, body: Uint8Array.from(answer.body), size: answer.body.length, sha256: '' };
}

/** Answer stored for a record that an operator resolved as having run. */
export function resolvedAnswer(reason: string): types.RecordedAnswer {
  const text = JSON.stringify({ resolved_by_operator: true, ran: true, reason });
  return {
    status: 200,
    contentType: 'application/json',
    body: new TextEncoder().encode(text),
    omitted: false,
    size: text.length,
    sha256: '',
  };
}
