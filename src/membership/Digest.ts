/** Encodes and decodes the digests that entry VMs exchange: protobuf messages of limited size. */
import * as generated from '#membership/exchange.js';
import * as messages from '../common/wire/Messages.js';
import type * as crashTracker from '../entry/stage/CrashTracker.js';
import type * as types from './Types.js';

const proto = generated.anvildeck.membership;

/** The message that one entry VM sends to another. */
export interface IDigest {
  /** Id of the sender. */
  readonly from: string;
  /** Version of the newest configuration in force at the sender; 0 before the first. */
  readonly configVersion: number;
  readonly members: readonly types.IMemberHint[];
  readonly blames: readonly crashTracker.IBlameHint[];
  readonly usages: readonly types.IUsage[];
}

/** An encoded digest with the content that fitted into the size limit. */
export interface IEncodedDigest {
  readonly bytes: Uint8Array;
  readonly digest: IDigest;
}

/**
 * Encodes a digest in at most `maxBytes`. To fit, it drops usages first, then members, then blames.
 *
 * @example
 * const { bytes, digest } = encodeDigest(all, 1_000);
 */
export function encodeDigest(all: IDigest, maxBytes: number): IEncodedDigest {
  let digest = all;
  let bytes = encode(digest);
  while (bytes.length > maxBytes) {
    const smaller = shrink(digest);
    if (!smaller) {
      break;
    }
    digest = smaller;
    bytes = encode(digest);
  }
  return { bytes, digest };
}

/**
 * Decodes a digest.
 *
 * @throws Error when the bytes are not a valid digest.
 * @example
 * const digest = decodeDigest(bytes);
 */
export function decodeDigest(bytes: Uint8Array): IDigest {
  return messages.decode(proto.Digest, bytes);
}

function encode(digest: IDigest): Uint8Array {
  return messages.encode(proto.Digest, {
    from: digest.from,
    configVersion: digest.configVersion,
    members: [...digest.members],
    blames: digest.blames.map((blame) => ({ ...blame, crashes: [...blame.crashes] })),
    usages: [...digest.usages],
  });
}

/** Drops the last quarter of the least urgent list that has items; undefined when all lists are empty. */
function shrink(digest: IDigest): IDigest | undefined {
  const { usages, members, blames } = digest;
  if (usages.length > 0) {
    return { ...digest, usages: dropLastQuarter(usages) };
  }
  if (members.length > 0) {
    return { ...digest, members: dropLastQuarter(members) };
  }
  return blames.length > 0 ? { ...digest, blames: dropLastQuarter(blames) } : undefined;
}

function dropLastQuarter<T>(items: readonly T[]): readonly T[] {
  return items.slice(0, Math.floor(items.length * 0.75));
}
