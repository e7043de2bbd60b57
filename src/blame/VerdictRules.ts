/** Decides which traits are to blame for crashes. A pure function of the crashes and the proofs that VMs share. */
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** A success clears a trait of crashes before it, and of crashes within this time after it. */
export const PROOF_VALIDITY_MS = 60_000;
/** Duration of the first quarantine of a trait. */
export const QUARANTINE_MS = 60_000;
/** Upper bound of the duration, which doubles with each crash after the end of a quarantine. */
export const MAX_QUARANTINE_MS = 600_000;
/** Crashes within this time may have a common cause, such as the loss of an availability zone. */
const COMMON_CAUSE_WINDOW_MS = 1000;
/** Crashes after which a trait is blamed if no other trait explains all of them. */
export const MIN_CRASHES = 2;
/** Crashes after which a trait is blamed even if other traits explain them, too. */
const MAX_CRASHES = 3;
/** Requests with a prompt part that must have crashed endpoints before the part is blamed instead of the request. */
const MIN_REQUESTS_OF_PART = 2;

/** A suspect with the time at which it was sent, on the monotonic clock of this VM. */
export interface ITimedSuspect extends types.IRequestTraits {
  readonly placedAt: commonTypes.Millis;
}

/** A crash with its time on the monotonic clock of this VM. */
export interface ITimedCrash {
  readonly id: string;
  readonly endpointId: string;
  readonly at: commonTypes.Millis;
  readonly suspects: readonly ITimedSuspect[];
}

/** A crash that counts against one trait. */
interface ICountedCrash {
  readonly id: string;
  readonly at: commonTypes.Millis;
  /** Request ids of the suspects with the trait. */
  readonly requests: readonly string[];
  /** Prompt parts of these suspects. */
  readonly parts: readonly string[];
}

/** Result of the rules. */
export interface IJudgement {
  /** Ids of the crashes that count against each suspected trait. */
  readonly suspected: ReadonlyMap<string, readonly string[]>;
  readonly verdicts: ReadonlyMap<string, types.IVerdict>;
}

type Counts = ReadonlyMap<string, readonly ICountedCrash[]>;

/**
 * Judges all traits of the suspects. `crashes` are ordered by time; `proofs` holds the latest success of a trait.
 *
 * @example
 * const { verdicts } = judge(crashes, new Map());
 */
export function judge(
  crashes: readonly ITimedCrash[],
  proofs: ReadonlyMap<string, commonTypes.Millis>,
): IJudgement {
  const counts = countCrashes(crashes, proofs);
  const repeated = new Map([...counts].filter(([, counted]) => counted.length >= MIN_CRASHES));
  const verdicts = new Map<string, types.IVerdict>();
  repeated.forEach((counted, trait) => {
    const blamedAfter = counted.findIndex((_, at) =>
      isToBlame(trait, counted.slice(0, at + 1), repeated),
    );
    if (blamedAfter >= 0) {
      verdicts.set(trait, {
        trait,
        until: endOfQuarantine(counted.slice(blamedAfter)),
        lastCrashAt: counted.at(-1)?.at ?? 0,
        crashIds: counted.map(({ id }) => id),
      });
    }
  });
  const suspected = new Map([...counts].map(([trait, all]) => [trait, all.map(({ id }) => id)]));
  return { suspected, verdicts };
}

/** Whether a crash at `at` counts against a trait whose latest success is `provenAt`. */
export function countsAgainst(
  at: commonTypes.Millis,
  provenAt: commonTypes.Millis | undefined,
): boolean {
  return provenAt === undefined || at - provenAt >= PROOF_VALIDITY_MS;
}

function countCrashes(
  crashes: readonly ITimedCrash[],
  proofs: ReadonlyMap<string, commonTypes.Millis>,
): Counts {
  const counts = new Map<string, ICountedCrash[]>();
  crashes.forEach(({ id, at, suspects }) => {
    groupByTrait(suspects).forEach((group, trait) => {
      const counted = counts.get(trait) ?? [];
      const isNew = isNewEvidence(at, group, counted.at(-1)?.at);
      if (isNew && countsAgainst(at, proofs.get(trait))) {
        const requests = group.map(({ request }) => request);
        counted.push({ id, at, requests, parts: group.flatMap(({ parts }) => parts) });
        counts.set(trait, counted);
      }
    });
  });
  return counts;
}

/** A crash close to the previous one says something new only if a suspect was sent after that one. */
function isNewEvidence(
  at: commonTypes.Millis,
  suspects: readonly ITimedSuspect[],
  previousAt: commonTypes.Millis | undefined,
): boolean {
  return (
    previousAt === undefined ||
    at - previousAt > COMMON_CAUSE_WINDOW_MS ||
    suspects.some(({ placedAt }) => placedAt > previousAt)
  );
}

function groupByTrait(
  suspects: readonly ITimedSuspect[],
): ReadonlyMap<string, readonly ITimedSuspect[]> {
  const groups = new Map<string, ITimedSuspect[]>();
  suspects.forEach((suspect) => {
    [suspect.request, ...suspect.parts].forEach((trait) => {
      const group = groups.get(trait) ?? [];
      group.push(suspect);
      groups.set(trait, group);
    });
  });
  return groups;
}

function isToBlame(trait: string, counted: readonly ICountedCrash[], counts: Counts): boolean {
  const requests = new Set(counted.flatMap((crash) => crash.requests));
  // A request is the only one with its own trait.
  const isRequest = requests.has(trait);
  if (counted.length < MIN_CRASHES || (!isRequest && requests.size < MIN_REQUESTS_OF_PART)) {
    return false;
  }
  // A request that crashes endpoints does so with all of its parts, which are no other cause.
  const ownParts = isRequest ? counted.flatMap(({ parts }) => parts) : [];
  return (
    counted.length >= MAX_CRASHES || !hasOtherCause(counted, counts, new Set([trait, ...ownParts]))
  );
}

/** Whether a trait that is not `excluded` was present in all of the crashes, too. */
function hasOtherCause(
  counted: readonly ICountedCrash[],
  counts: Counts,
  excluded: ReadonlySet<string>,
): boolean {
  return [...counts].some(([other, others]) => {
    const ids = new Set(others.map(({ id }) => id));
    return !excluded.has(other) && counted.every(({ id }) => ids.has(id));
  });
}

/** End of the quarantine that starts with the first of these crashes. */
function endOfQuarantine(counted: readonly ICountedCrash[]): commonTypes.Millis {
  let duration = QUARANTINE_MS;
  let until = 0;
  counted.forEach(({ at }, index) => {
    if (index > 0 && at >= until) {
      duration = Math.min(2 * duration, MAX_QUARANTINE_MS);
    }
    until = at + duration;
  });
  return until;
}
