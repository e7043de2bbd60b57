import type * as types from './Types.js';

/** Kind of command in the replicated log that takes a zone out of service or returns it. */
const KIND = 'zone-order';

/**
 * Encodes an order as a command of the replicated log (JSON in UTF-8). Builds that do not know the kind leave it out.
 *
 * @example
 * await log.propose(encode({ zone: 'north-a', isClosed: true }));
 */
export function encode({ zone, isClosed }: types.IZoneOrder): Uint8Array {
  return Buffer.from(JSON.stringify({ record: KIND, zone, isClosed }));
}

/**
 * Decodes a command that is a record; undefined for records of other kinds.
 *
 * @example
 * decode(encode({ zone: 'north-a', isClosed: true })); // { zone: 'north-a', isClosed: true }
 */
export function decode(command: Uint8Array): types.IZoneOrder | undefined {
  const { record, zone, isClosed } = JSON.parse(Buffer.from(command).toString('utf8'));
  return record === KIND ? { zone, isClosed } : undefined;
}
