/**
 * Record format of the files in the data folder. A record is a header of 12 bytes, little endian (payload
 * length, CRC-32 of the payload, CRC-32 of these 8 bytes), followed by the payload. Each log record is
 * written by one write and then synced.
 */
import * as crc32 from '@node-rs/crc32';
import type * as types from './Types.js';

const HEADER_BYTES = 12;
const CHECKED_HEADER_BYTES = 8;
const SECTOR_BYTES = 512;
/** Shorter runs of zeros may be content rather than an unwritten sector. */
const MIN_ZERO_RUN_BYTES = 16;
/** Longer payloads are rejected on write and treated as damage on read. */
export const MAX_PAYLOAD_BYTES = 64 * 1024 * 1024;

/** An intact record and its byte offset in the file. */
export interface IRecord {
  readonly offset: number;
  readonly payload: Uint8Array;
}

/** The intact records of a file up to its first fault. */
export interface IScan {
  readonly records: readonly IRecord[];
  /** End of the last intact record, in bytes. */
  readonly end: number;
  /** The first fault, if any. */
  readonly fault?: types.IDataFinding;
}

/**
 * Encodes a payload as one record with its header.
 *
 * @throws RangeError when the payload is longer than MAX_PAYLOAD_BYTES.
 * @example
 * await file.write(end, encodeRecord(payload));
 */
export function encodeRecord(payload: Uint8Array): Uint8Array {
  if (payload.length > MAX_PAYLOAD_BYTES) {
    throw new RangeError(`record payload of ${payload.length} bytes is too long`);
  }
  const record = new Uint8Array(HEADER_BYTES + payload.length);
  const view = new DataView(record.buffer);
  view.setUint32(0, payload.length, true);
  view.setUint32(4, crc32.crc32(payload), true);
  view.setUint32(8, crc32.crc32(record.subarray(0, CHECKED_HEADER_BYTES)), true);
  record.set(payload, HEADER_BYTES);
  return record;
}

/**
 * Decodes the records of a file until its end or the first fault.
 *
 * @example
 * const { records, fault } = scanRecords(path, content);
 */
export function scanRecords(file: string, content: Uint8Array): IScan {
  const records: IRecord[] = [];
  let end = 0;
  while (end < content.length) {
    const payload = readPayload(content, end);
    if (payload === undefined) {
      return { records, end, fault: classifyFault(file, content, end) };
    }
    records.push({ offset: end, payload });
    end += HEADER_BYTES + payload.length;
  }
  return { records, end };
}

/** Payload length from the header at `offset`; undefined when the header is incomplete or damaged. */
function readPayloadLength(content: Uint8Array, offset: number): number | undefined {
  if (offset + HEADER_BYTES > content.length) {
    return undefined;
  }
  const view = new DataView(content.buffer, content.byteOffset + offset, HEADER_BYTES);
  const length = view.getUint32(0, true);
  if (length > MAX_PAYLOAD_BYTES) {
    return undefined;
  }
  const checked = content.subarray(offset, offset + CHECKED_HEADER_BYTES);
  return view.getUint32(8, true) === crc32.crc32(checked) ? length : undefined;
}

function readPayload(content: Uint8Array, offset: number): Uint8Array | undefined {
  const length = readPayloadLength(content, offset);
  if (length === undefined || offset + HEADER_BYTES + length > content.length) {
    return undefined;
  }
  const start = offset + HEADER_BYTES;
  const payload = content.subarray(start, start + length);
  const view = new DataView(content.buffer, content.byteOffset + offset, HEADER_BYTES);
  return view.getUint32(4, true) === crc32.crc32(payload) ? payload : undefined;
}

/**
 * Classifies a fault as a torn write after a crash or as damage to durable data. Records are synced one by
 * one, so no intact record follows a torn one, and a torn record lacks its end or some of its sectors.
 */
function classifyFault(file: string, content: Uint8Array, offset: number): types.IDataFinding {
  if (hasRecordAfter(content, offset)) {
    return { file, offset, what: 'damaged record followed by intact records', torn: false };
  }
  const length = readPayloadLength(content, offset);
  const end = length === undefined ? content.length : offset + HEADER_BYTES + length;
  const incomplete =
    offset + HEADER_BYTES > content.length || (length !== undefined && end > content.length);
  if (
    incomplete ||
    isUnwritten(content, offset) ||
    hasZeroSector(content, offset, Math.min(end, content.length))
  ) {
    return { file, offset, what: 'incomplete record, torn by a crash', torn: true };
  }
  return { file, offset, what: 'record checksum mismatch', torn: false };
}

function hasRecordAfter(content: Uint8Array, offset: number): boolean {
  for (let next = offset + 1; next + HEADER_BYTES <= content.length; next++) {
    const payload = readPayload(content, next);
    if (payload !== undefined && payload.length > 0) {
      return true;
    }
  }
  return false;
}

/** Whether the rest of the file was never written: an intact header is never all zeros. */
function isUnwritten(content: Uint8Array, offset: number): boolean {
  return content.subarray(offset).every((byte) => byte === 0);
}

/** Whether the part of the record in some sector was never written and so reads as zeros. */
function hasZeroSector(content: Uint8Array, start: number, end: number): boolean {
  let from = start;
  while (from < end) {
    const to = Math.min(end, (Math.floor(from / SECTOR_BYTES) + 1) * SECTOR_BYTES);
    const part = content.subarray(from, to);
    if (part.length >= MIN_ZERO_RUN_BYTES && part.every((byte) => byte === 0)) {
      return true;
    }
    from = to;
  }
  return false;
}
