import type * as http from 'node:http';
import type * as net from 'node:net';

/** Maximum size of the head of a response; Node's parser enforces it for headers and trailers. */
export const MAX_HEAD_BYTES = 16_384;
/**
 * Maximum number of bytes before the end of the head of the final response. The parser does not count informational
 * responses, blank lines before the status line and spaces in a header.
 */
const MAX_BYTES_BEFORE_RESPONSE = 4 * MAX_HEAD_BYTES;

/** Destroys `req` if its endpoint sends MAX_BYTES_BEFORE_RESPONSE without a final response. */
export function guardResponseHead(req: http.ClientRequest): void {
  let receivedBytes = 0;
  let socket: net.Socket | undefined;
  let isDone = false;
  const count = (chunk: Buffer): void => {
    receivedBytes += chunk.length;
    // The parser handles a chunk first, so the response may have started in this one.
    if (!isDone && receivedBytes > MAX_BYTES_BEFORE_RESPONSE) {
      req.destroy(new Error(`no response within ${MAX_BYTES_BEFORE_RESPONSE} bytes`));
    }
  };
  const stop = (): void => {
    isDone = true;
    socket?.removeListener('data', count);
  };
  req.once('socket', (assigned) => {
    socket = assigned;
    socket.on('data', count);
  });
  req.once('response', stop);
  req.once('close', stop);
}
