import type * as stream from 'node:stream';
import type * as byteBudget from '../common/memory/ByteBudget.js';
import * as growingBuffer from '../common/GrowingBuffer.js';
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Maximum size of a response body that is buffered; a larger one counts as lost. Services return a few kilobytes. */
export const MAX_BODY_BYTES = 8_388_608;
/** Maximum size of the body of a rejection, which is read only to keep its connection. */
const MAX_REJECTION_BYTES = 65_536;
/** Time within which the body of a rejection must end. */
const REJECTION_TIMEOUT_MS = 1000;

/** A body that was read completely, or the reason for which it was not. */
export type BodyResult = { readonly body: Buffer } | { readonly fault: string };

/**
 * Reads a body up to its end; destroys its connection if it exceeds `maxBytes`. While `memory` has no room, the rest of
 * the body waits at the endpoint.
 */
export async function readBody(
  body: stream.Readable,
  isComplete: () => boolean,
  maxBytes: number,
  memory?: byteBudget.ByteBudget,
): Promise<BodyResult> {
  if (memory === undefined) {
    return readUnbudgeted(body, isComplete, maxBytes);
  }
  const received = new growingBuffer.GrowingBuffer();
  const lease = memory.lease('answer');
  try {
    for await (const chunk of body) {
      received.append(chunk as Buffer);
      while (!lease.resize(received.length) && !body.destroyed) {
        await memory.freed();
      }
      if (received.length > maxBytes) {
        return { fault: `body exceeds ${maxBytes} bytes` };
      }
    }
  } catch (err) {
    return { fault: (err as Error).message };
  } finally {
    lease.dispose();
  }
  return isComplete() ? { body: received.take() } : { fault: 'body truncated' };
}

/** Reads a body of which no part has to wait for memory. */
function readUnbudgeted(
  body: stream.Readable,
  isComplete: () => boolean,
  maxBytes: number,
): Promise<BodyResult> {
  const received = new growingBuffer.GrowingBuffer();
  return new Promise((resolve) => {
    body.on('data', (chunk: Buffer) => {
      received.append(chunk);
      if (received.length > maxBytes) {
        resolve({ fault: `body exceeds ${maxBytes} bytes` });
        body.destroy();
      }
    });
    body.once('error', (err) => resolve({ fault: err.message }));
    body.once('end', () =>
      resolve(isComplete() ? { body: received.take() } : { fault: 'body truncated' }),
    );
    body.once('close', () => resolve({ fault: 'body truncated' }));
  });
}

/**
 * Reads the body of a rejection and drops it, so that the connection can be reused. Resolves with the reason if the
 * body is too long or does not end in time; the call must then be cancelled.
 */
export function drainRejection(
  answer: types.IEndpointAnswer,
  clock: commonTypes.IClock,
): Promise<string | undefined> {
  const { body } = answer;
  return new Promise((resolve) => {
    let totalBytes = 0;
    const timer = clock.setTimer(REJECTION_TIMEOUT_MS, () =>
      resolve(`body of a rejection lasts longer than ${REJECTION_TIMEOUT_MS} ms`),
    );
    const end = (): void => {
      timer.dispose();
      resolve(undefined);
    };
    body.on('data', (chunk: Buffer) => {
      totalBytes += chunk.length;
      if (totalBytes > MAX_REJECTION_BYTES) {
        timer.dispose();
        resolve(`body of a rejection exceeds ${MAX_REJECTION_BYTES} bytes`);
      }
    });
    body.once('end', end);
    body.once('error', end);
    body.once('close', end);
  });
}
