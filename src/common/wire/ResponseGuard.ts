import type * as http from 'node:http';
import type * as net from 'node:net';
import * as responseHeadCheck from './ResponseHeadCheck.js';

/** Maximum size of the head of a response; Node's parser enforces it for headers and trailers. */
export const MAX_HEAD_BYTES = 16_384;
/**
 * Maximum number of bytes beside the body. The parser does not count informational responses, blank lines before the
 * status line, spaces in a header, extensions of chunks and zeros before the size of a chunk.
 */
const MAX_BYTES_BESIDE_BODY = 4 * MAX_HEAD_BYTES;
/** Bytes beside the body that each byte of it allows in addition, for bodies in small chunks. */
const FRAMING_RATIO = 3;
/** Parts of a body that may arrive at once if they are smaller on average than MIN_PART_BYTES: each costs time. */
const MAX_SMALL_PARTS = 512;
/** See MAX_SMALL_PARTS; each event of a stream is longer. */
const MIN_PART_BYTES = 8;
/** Maximum number of informational responses before the final one. */
const MAX_INFORMATIONAL_RESPONSES = 64;
/** Events by which a request hands on the head of its response. */
const HEAD_EVENTS: readonly string[] = ['response', 'connect', 'upgrade'];

/**
 * Destroys the connection of `req` once the head of its response, or of an informational one before it, breaks HTTP: the
 * request fails then, and nobody gets the response. Does the same with the response once a trailer breaks HTTP, or once the
 * endpoint has sent more bytes beside the body than MAX_BYTES_BESIDE_BODY and FRAMING_RATIO allow, too many small parts or
 * too many informational responses. To be called before the response is read.
 *
 * @example
 * const req = http.request(options);
 * guardResponse(req);
 */
export function guardResponse(req: http.ClientRequest): void {
  let receivedBytes = 0;
  let bodyBytes = 0;
  let readBytes = 0;
  let readParts = 0;
  let informationalCount = 0;
  let socket: net.Socket | undefined;
  let response: http.IncomingMessage | undefined;
  let isOver = false;
  let headFault: string | undefined;
  let isClosed = false;
  const close = (message: string): void => {
    const err = new Error(message);
    isOver = true;
    isClosed = true;
    if (response === undefined) {
      req.destroy(err);
      return;
    }
    socket?.destroy();
    // Whoever awaits the response listens to it only after the events of this turn.
    setImmediate(() => response?.destroy(err));
  };
  const headCheck = new responseHeadCheck.ResponseHeadCheck();
  const checkHead = (chunk: Buffer): void => {
    headFault ??= headCheck.findFault(chunk);
    if (headFault !== undefined && !isOver) {
      close(headFault);
    }
    if (headFault !== undefined || headCheck.isDone) {
      socket?.removeListener('data', checkHead);
    }
  };
  // The parser handles a chunk first, so that the parts of the body in it are counted.
  const count = (chunk: Buffer): void => {
    receivedBytes += chunk.length;
    readBytes = 0;
    readParts = 0;
    const allowedBytes = MAX_BYTES_BESIDE_BODY + FRAMING_RATIO * bodyBytes;
    if (!isOver && receivedBytes - bodyBytes > allowedBytes) {
      close(
        response === undefined
          ? `no response within ${MAX_BYTES_BESIDE_BODY} bytes`
          : `response with more than ${allowedBytes} bytes beside its body`,
      );
    }
  };
  req.once('socket', (assigned) => {
    socket = assigned;
    socket.on('data', count);
    // In front of the parser, which takes some bytes of a broken head for its end.
    socket.prependListener('data', checkHead);
  });
  guardHeadEvents(req, () => headFault);
  req.prependOnceListener('response', (res) => {
    response = res;
    const push = res.push.bind(res);
    // A listener of `data` would start to read the body.
    Object.assign(res, {
      push: (part: Buffer | null, encoding?: BufferEncoding): boolean => {
        const bytes = part?.length ?? 0;
        bodyBytes += bytes;
        readBytes += bytes;
        readParts += 1;
        if (!isOver && readParts > MAX_SMALL_PARTS && readBytes < readParts * MIN_PART_BYTES) {
          close(`more than ${MAX_SMALL_PARTS} parts of less than ${MIN_PART_BYTES} bytes at once`);
        }
        if (part === null && !isOver && !hasSoundTrailers(res)) {
          close('response with a broken trailer');
        }
        isOver ||= part === null;
        if (isClosed) {
          // The parser goes on to the end of what it got, and takes the response for complete there.
          Object.assign(res, { complete: false });
        }
        return res.destroyed || isClosed ? false : push(part, encoding);
      },
    });
  });
  req.on('information', () => {
    informationalCount += 1;
    if (!isOver && informationalCount > MAX_INFORMATIONAL_RESPONSES) {
      close(`more than ${MAX_INFORMATIONAL_RESPONSES} informational responses`);
    }
  });
  req.once('close', () => {
    isOver = true;
    socket?.removeListener('data', count);
    socket?.removeListener('data', checkHead);
  });
}

function hasSoundTrailers({ rawTrailers }: http.IncomingMessage): boolean {
  return rawTrailers.every((text, at) => at % 2 === 1 || responseHeadCheck.isHeaderName(text));
}

/** Keeps back the head that the parser makes of the bytes in which `findFault` finds a fault: it goes on with them. */
function guardHeadEvents(req: http.ClientRequest, findFault: () => string | undefined): void {
  const emit = req.emit.bind(req);
  Object.assign(req, {
    emit: (event: string, ...args: unknown[]): boolean => {
      const fault = HEAD_EVENTS.includes(event) ? findFault() : undefined;
      if (fault === undefined) {
        return emit(event, ...args);
      }
      if (event !== 'response') {
        // Node has taken its listeners off the socket, which fails in the next tick.
        req.socket?.on('error', () => {});
        emit('error', new Error(fault));
      }
      return false;
    },
  });
}
