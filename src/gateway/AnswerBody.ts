import type * as stream from 'node:stream';
import * as blockBuffer from '../common/memory/BlockBuffer.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as responseEnd from '../common/wire/ResponseEnd.js';
import type * as bodyMemory from './BodyMemory.js';
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
 * Reads a body up to its end; destroys its connection if it exceeds `maxBytes`. Charges each part before it is kept;
 * while `memory` has no room, the rest of the body waits at the endpoint.
 *
 * @example
 * const result = await readBody(res, () => end.isComplete, MAX_BODY_BYTES, memory);
 */
export async function readBody(
  body: stream.Readable,
  isComplete: () => boolean,
  maxBytes: number,
  memory: bodyMemory.IBodyMemory,
): Promise<BodyResult> {
  const { budget, pool, collector } = memory;
  const received = new blockBuffer.BlockBuffer(pool);
  const lease = budget.lease('answer');
  let totalBytes = 0;
  try {
    for await (const chunk of body) {
      const part = chunk as Buffer;
      totalBytes += part.length;
      collector.recordReceived(part.length);
      if (totalBytes > maxBytes) {
        return { fault: `body exceeds ${maxBytes} bytes` };
      }
      while (!lease.resize(totalBytes) && !body.destroyed) {
        await budget.freed();
      }
      received.append(part);
    }
    return isComplete() ? { body: received.take() } : { fault: 'body truncated' };
  } catch (err) {
    return { fault: (err as Error).message };
  } finally {
    received.clear();
    lease.dispose();
  }
}

/**
 * Returns how the body of an answer ended; counts ends with the connection, which only the connection's own end tells apart
 * from a body that broke off.
 */
export function recordBodyEnd(
  metrics: commonServices.IMetricsService,
  kind: 'plain' | 'engine',
  answer: types.IEndpointAnswer,
): responseEnd.EndKind {
  const end = answer.bodyEnd();
  if (end === 'closed' || end === 'broken') {
    metrics.count('bodies_ended_by_connection', { kind, end });
  }
  return end;
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
