/** Writes answers and errors to callers. */
import type * as http from 'node:http';
import type * as refusals from '../../common/Refusals.js';
import type * as requestError from '../../common/RequestError.js';

/** What every answer says of itself. */
export interface IAnswerMeta {
  readonly requestId: string;
  readonly run: refusals.RunState;
  /** Version of the configuration in force; undefined before the first. */
  readonly version: number | undefined;
}

const MS_PER_SECOND = 1000;

/** Headers of every answer. */
export function metaHeaders(meta: IAnswerMeta): http.OutgoingHttpHeaders {
  return {
    'x-request-id': meta.requestId,
    'x-anvildeck-run': meta.run,
    ...(meta.version === undefined ? {} : { 'x-anvildeck-config': String(meta.version) }),
  };
}

/** Writes a whole answer. */
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

/** The body of an error. */
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

/** Writes an error, or cuts a stream that has begun so that it can never pass for whole. */
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
  // RFC 9110: whole seconds, and none is asked to come back before its time.
  return { 'retry-after': String(Math.max(1, Math.ceil(err.retryAfter / MS_PER_SECOND))) };
}
