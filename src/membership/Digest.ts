/** Digests of the exchange among entry VMs, encoded by protobuf and bounded in bytes. */
import * as generated from '#membership/exchange.js';
import * as messages from '../common/wire/Messages.js';
import type * as crashTracker from '../entry/stage/CrashTracker.js';
import type * as types from './Types.js';

const proto = generated.anvildeck.membership;

/** What one entry VM tells another. */
export interface IDigest {
  readonly from: string;
  /** Newest configuration in force there; 0 before the first. */
  readonly configVersion: number;
  readonly members: readonly types.IMemberHint[];
  readonly blames: readonly crashTracker.IBlameHint[];
  readonly usages: readonly types.IUsage[];
}

/** A digest that fits, with what of it fits. */
export interface IEncodedDigest {
  readonly bytes: Uint8Array;
  readonly digest: IDigest;
}

/**
 * Encodes a digest in at most `maxBytes`: usages are left out first, then members, then blames.
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
 * @throws Error when the bytes are no digest.
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

/** The digest without the last quarter of its least urgent part. */
function shrink(digest: IDigest): IDigest | undefined {
  const { usages, members, blames } = digest;
  if (usages.length > 0) {
    return { ...digest, usages: cut(usages) };
  }
  if (members.length > 0) {
    return { ...digest, members: cut(members) };
  }
  return blames.length > 0 ? { ...digest, blames: cut(blames) } : undefined;
}

function cut<T>(items: readonly T[]): readonly T[] {
  return items.slice(0, Math.floor(items.length * 0.75));
}
