/** Validates the request headers that callers may set and generates request ids. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as requestError from '../../common/RequestError.js';
import type * as types from './Types.js';

const REQUEST_ID_PATTERN = /^[\w.:-]{1,128}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const DEADLINE_PATTERN = /^-?\d{1,12}$/;

/** 96 random bits that keep the ids of this process distinct from those of any other process. */
const PROCESS_ID = crypto.randomBytes(12).toString('hex');

let issuedCount = 0;

/** Generates a request id that is unique across processes. */
export function newRequestId(): string {
  issuedCount += 1;
  return `req-${PROCESS_ID}-${issuedCount.toString(36)}`;
}

/** Returns the caller's `X-Request-Id` when it is valid, otherwise a generated id. */
export function requestIdOf(req: http.IncomingMessage): string {
  const value = req.headers['x-request-id'];
  return typeof value === 'string' && REQUEST_ID_PATTERN.test(value) ? value : newRequestId();
}

/**
 * Reads and validates the headers that callers may set.
 *
 * @throws RequestError `bad-header`, or `deadline-past` for a deadline of zero or less.
 * @example
 * const headers = readCallerHeaders(req, requestIdOf(req));
 */
export function readCallerHeaders(
  req: http.IncomingMessage,
  requestId: string,
): types.ICallerHeaders {
  const receivedId = req.headers['x-request-id'];
  if (receivedId !== undefined && receivedId !== requestId) {
    throw badHeader(
      'X-Request-Id',
      '1 to 128 letters, digits, underscores, dots, colons or hyphens',
    );
  }
  return {
    requestId,
    idempotencyKey: readIdempotencyKey(req),
    deadlineMs: readDeadline(req),
  };
}

function readIdempotencyKey(req: http.IncomingMessage): string | undefined {
  const value = req.headers['idempotency-key'];
  if (value === undefined) {
    return undefined;
  }
  if (typeof value !== 'string' || !IDEMPOTENCY_KEY_PATTERN.test(value)) {
    throw badHeader('Idempotency-Key', '1 to 255 visible ASCII characters');
  }
  return value;
}

function readDeadline(req: http.IncomingMessage): number | undefined {
  const value = req.headers['x-deadline-ms'];
  if (value === undefined) {
    return undefined;
  }
  if (typeof value !== 'string' || !DEADLINE_PATTERN.test(value)) {
    throw badHeader('X-Deadline-Ms', 'a whole number of milliseconds from now');
  }
  if (Number(value) <= 0) {
    const message = 'the deadline is past; send a positive X-Deadline-Ms, or none';
    throw new requestError.RequestError('deadline-past', message, {
      run: 'not-run',
      param: 'X-Deadline-Ms',
    });
  }
  return Number(value);
}

function badHeader(name: string, expected: string): requestError.RequestError {
  return new requestError.RequestError('bad-header', `${name} must be ${expected}`, {
    run: 'not-run',
    param: name,
  });
}
