/** Reads news on crashes from other VMs, whose messages are not validated by the feed. */
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/**
 * Returns the readable part of news of another VM: crashes and proofs whose fields are missing or of another type are
 * left out, and a negative age counts as 0.
 *
 * @example
 * table.merge(readNews(message.news));
 */
export function readNews(value: unknown): types.IBlameNews {
  const { crashes, proofs } = (value ?? {}) as Readonly<Record<string, unknown>>;
  return {
    crashes: arrayOf(crashes).flatMap(readCrash),
    proofs: arrayOf(proofs).flatMap(readProof),
  };
}

function readCrash(value: unknown): readonly types.ICrashRecord[] {
  const { id, endpointId, age, joins, suspects } = recordOf(value);
  return typeof id === 'string' && typeof endpointId === 'string' && isAge(age)
    ? [
        {
          id,
          endpointId,
          age: Math.max(0, age),
          joins: typeof joins === 'string' ? joins : undefined,
          suspects: arrayOf(suspects).flatMap(readSuspect),
        },
      ]
    : [];
}

function readSuspect(value: unknown): readonly types.ISuspect[] {
  const { request, parts, placedAge } = recordOf(value);
  return typeof request === 'string' && isAge(placedAge)
    ? [{ request, parts: arrayOf(parts).filter((part) => typeof part === 'string'), placedAge }]
    : [];
}

function readProof(value: unknown): readonly types.ITraitProof[] {
  const { trait, age } = recordOf(value);
  return typeof trait === 'string' && isAge(age) ? [{ trait, age: Math.max(0, age) }] : [];
}

function isAge(value: unknown): value is commonTypes.Millis {
  return typeof value === 'number' && Number.isFinite(value);
}

function arrayOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function recordOf(value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
}
