/** Writes complete answers and error answers to callers. */
import type * as http from 'node:http';
import * as growingBuffer from '../../common/GrowingBuffer.js';
import type * as refusals from '../../common/Refusals.js';
import * as requestError from '../../common/RequestError.js';

/** Values of the headers that every answer carries. */
export interface IAnswerMeta {
  readonly requestId: string;
  /** Whether the request reached an endpoint. */
  readonly run: refusals.RunState;
  /** Version of the configuration in force; undefined before the first configuration. */
  readonly version: number | undefined;
}

const MS_PER_SECOND = 1000;
/** A caller that reads nothing for this long, at most twice as long, does not get the error event of its stream. */
const ERROR_EVENT_TIMEOUT_MS = 500;
/** Maximum size of a stream that is held until it is whole. */
const MAX_HELD_BYTES = 8 * 1024 * 1024;

/** Builds the headers of every answer: request id, run state and, where known, configuration version. */
export function metaHeaders(meta: IAnswerMeta): http.OutgoingHttpHeaders {
  return {
    'x-request-id': meta.requestId,
    'x-anvildeck-run': meta.run,
    ...(meta.version === undefined ? {} : { 'x-anvildeck-config': String(meta.version) }),
  };
}

/** Writes an answer whose body is complete, with its content length. */
export function writeWholeAnswer(
  res: http.ServerResponse,
  meta: IAnswerMeta,
  status: number,
  contentType: string,
  body: Uint8Array,
): void {
  res.writeHead(status, {
    ...metaHeaders(meta),
    'content-type': contentType,
    'content-length': body.length,
  });
  res.end(body);
}

/** Resolves with all bytes of a stream; rejects if there are too many, or with the signal's reason on abort. */
export async function readWhole(
  chunks: AsyncIterable<Uint8Array>,
  signal: AbortSignal,
): Promise<Uint8Array> {
  const body = new growingBuffer.GrowingBuffer();
  for await (const chunk of chunks) {
    signal.throwIfAborted();
    if (body.length + chunk.length > MAX_HELD_BYTES) {
      const message = 'the stream is too long for HTTP/1.0; use HTTP/1.1';
      throw new requestError.RequestError('stream-cut', message, { run: 'run' });
    }
    body.append(chunk);
  }
  return body.take();
}

/** JSON text of an error: an object whose `error` holds type, code, message, param, run and request id. */
export function errorBody(err: requestError.RequestError, requestId: string): string {
  const error = {
    type: err.type,
    code: err.code,
    message: err.message,
    param: err.param ?? null,
    run: err.run,
    request_id: requestId,
  };
  return JSON.stringify({ error });
}

/**
 * Writes an error. Once the headers of a streamed answer have been sent, writes the error as an event and closes
 * the connection, so that the caller cannot take the truncated stream for a complete one; closes it without the event
 * if the caller does not read. Does nothing when the connection is already closed.
 */
export function writeError(
  res: http.ServerResponse,
  err: requestError.RequestError,
  meta: Omit<IAnswerMeta, 'run'>,
): void {
  if (res.destroyed) {
    return;
  }
  const body = errorBody(err, meta.requestId);
  if (res.headersSent) {
    res.setTimeout(ERROR_EVENT_TIMEOUT_MS, () => res.destroy());
    res.write(`\n\ndata: ${body}\n\n`, () => res.destroy());
    return;
  }
  res.writeHead(err.status, {
    ...metaHeaders({ ...meta, run: err.run }),
    ...retryAfterHeader(err),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}

function retryAfterHeader(err: requestError.RequestError): http.OutgoingHttpHeaders {
  if (err.retryAfter === undefined) {
    return {};
  }
  // RFC 9110 allows whole seconds only; rounding up, to at least one, keeps callers from retrying early.
  return { 'retry-after': String(Math.max(1, Math.ceil(err.retryAfter / MS_PER_SECOND))) };
}
