/** Ids and groups of ledger records, and the creation time inside a key. */
import * as crypto from 'node:crypto';

const ID_BYTES = 16;

/** Length of a record id in hexadecimal digits. */
export const ID_HEX_CHARS = 2 * ID_BYTES;
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEX_RADIX = 16;

/** Fields that identify a record. */
export interface ILedgerKey {
  readonly workspace: string;
  readonly target: string;
  readonly key: string;
}

/**
 * Id of a record: 128 bits of the SHA-256 of its workspace, target and key, hexadecimal.
 *
 * @example
 * recordId({ workspace: 'bukid', target: 'register/postings', key: '17-2' });
 */
export function recordId(key: ILedgerKey): string {
  const parts = JSON.stringify([key.workspace, key.target, key.key]);
  const digest = crypto.createHash('sha256').update(parts).digest();
  return digest.subarray(0, ID_BYTES).toString('hex');
}

/**
 * Creation time that a key contains, in ms since the epoch: that of a version 7 UUID (RFC 9562), or 0 for
 * other keys. Only this time is certain to be the same on every resend, since it is part of the key.
 *
 * @example
 * keyTime('018f2c5e-7b00-7abc-8def-0123456789ab'); // 1714521586432
 */
export function keyTime(key: string): number {
  const match = UUID_V7.exec(key);
  return match === null ? 0 : parseInt(`${match[1]}${match[2]}`, HEX_RADIX);
}

/**
 * Index of the group that owns a record. Each group owns an equal range of the first 32 bits of the id.
 *
 * @example
 * groupOf('80000000…', 2); // 1
 */
export function groupOf(id: string, groups: number): number {
  const word = parseInt(id.slice(0, 8), HEX_RADIX);
  return Math.floor((word / 2 ** 32) * groups);
}
