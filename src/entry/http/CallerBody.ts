/** Reads and parses request bodies up to a maximum receivedBytes. */
import type * as http from 'node:http';
import * as requestError from '../../common/RequestError.js';

/**
 * Reads a request body of at most `maxBytes` bytes.
 *
 * @throws RequestError `body-too-large`, or `bad-body` when the connection fails before the end of the body.
 */
export function readBody(req: http.IncomingMessage, maxBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const rejectTooLarge = () => {
      // Discards the rest of the body, so that the connection can serve further requests.
      req.removeAllListeners('data');
      req.resume();
      reject(
        bodyError(
          'body-too-large',
          `the body is larger than ${maxBytes} bytes; send a smaller one`,
        ),
      );
    };
    if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
      rejectTooLarge();
      return;
    }
    req.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > maxBytes) {
        rejectTooLarge();
        return;
      }
      chunks.push(chunk);
    });
    req.once('end', () => resolve(Buffer.concat(chunks)));
    req.once('error', () =>
      reject(bodyError('bad-body', 'the connection failed before the body was complete')),
    );
  });
}

/**
 * Parses a UTF-8 body that must be a JSON object.
 *
 * @throws RequestError `bad-json` for invalid JSON, `bad-body` for any other JSON value.
 */
export function parseObject(body: Buffer): Readonly<Record<string, unknown>> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (err) {
    const message = `the body is not JSON (${(err as Error).message}); send a JSON object`;
    throw bodyError('bad-json', message);
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw bodyError('bad-body', 'the body must be a JSON object');
  }
  return value as Readonly<Record<string, unknown>>;
}

function bodyError(
  code: 'body-too-large' | 'bad-body' | 'bad-json',
  message: string,
): requestError.RequestError {
  return new requestError.RequestError(code, message, { run: 'not-run', param: 'body' });
}
