/** Decides which traits are to blame for crashes. A pure function of the crashes and the proofs that VMs share. */
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** A success clears a trait of crashes before it, and of crashes within this time after it. */
export const PROOF_VALIDITY_MS = 60_000;
/** Duration of the first quarantine of a trait. */
export const QUARANTINE_MS = 60_000;
/** Upper bound of the duration, which doubles with each crash after the end of a quarantine. */
const MAX_QUARANTINE_MS = 600_000;
/** Crashes within this time have one cause: a trait of suspects at each of them, or none, as in a power failure. */
export const SAME_CAUSE_WINDOW_MS = 100;
/** A later crash within this time says something new only if a suspect was sent after the previous one. */
const REPETITION_WINDOW_MS = 1000;
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
  /** Id of an earlier crash with the same cause. */
  readonly joins?: string | undefined;
  readonly suspects: readonly ITimedSuspect[];
}

/** Crashes with one cause. */
interface ICrashGroup {
  readonly ids: readonly string[];
  readonly at: commonTypes.Millis;
  /** Suspects with each trait that was present at all of the crashes. */
  readonly suspects: ReadonlyMap<string, readonly ITimedSuspect[]>;
}

/** A crash, or several with one cause, that counts against one trait. */
interface ICountedCrash {
  readonly id: string;
  /** Ids of all crashes with the same cause. */
  readonly ids: readonly string[];
  readonly at: commonTypes.Millis;
  /** Request ids of the suspects with the trait. */
  readonly requests: readonly string[];
  /** Prompt parts of these suspects. */
  readonly parts: readonly string[];
}

/** Result of the rules. */
export interface IJudgement {
  /** Ids of the crashes that count against each suspected trait; those with one cause together. */
  readonly suspected: ReadonlyMap<string, readonly (readonly string[])[]>;
  readonly verdicts: ReadonlyMap<string, types.IVerdict>;
}

/** What is known against one trait. */
interface ITraitRecord {
  readonly counted: readonly ICountedCrash[];
  /** Ids of the crashes, counted or not, at which the trait was present. */
  readonly present: ReadonlySet<string>;
}

type Records = ReadonlyMap<string, ITraitRecord>;

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
  const records = countCrashes(crashes, proofs);
  const repeated = new Map([...records].filter(([, { present }]) => present.size >= MIN_CRASHES));
  const verdicts = new Map<string, types.IVerdict>();
  repeated.forEach(({ counted }, trait) => {
    const blamedAfter = counted.findIndex((_, at) =>
      isToBlame(trait, counted.slice(0, at + 1), repeated),
    );
    if (blamedAfter >= 0) {
      verdicts.set(trait, {
        trait,
        until: endOfQuarantine(counted.slice(blamedAfter)),
        lastCrashAt: counted.at(-1)?.at ?? 0,
        crashIds: [...new Set(counted.flatMap(({ ids }) => ids))],
        rivals: [],
      });
    }
  });
  const suspected = new Map(
    [...records].map(([trait, { counted }]) => [trait, counted.map(({ ids }) => ids)]),
  );
  return { suspected, verdicts: withRivals(verdicts, records) };
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
): Records {
  const records = new Map<string, { counted: ICountedCrash[]; present: Set<string> }>();
  groupByCause(crashes).forEach(({ ids, at, suspects }) => {
    suspects.forEach((group, trait) => {
      if (!countsAgainst(at, proofs.get(trait))) {
        return;
      }
      const record = records.get(trait) ?? { counted: [], present: new Set() };
      records.set(trait, record);
      const id = ids[0] ?? '';
      ids.forEach((each) => record.present.add(each));
      if (isNewEvidence(at, group, record.counted.at(-1)?.at)) {
        const requests = group.map(({ request }) => request);
        const parts = group.flatMap((suspect) => suspect.parts);
        record.counted.push({ id, ids, at, requests, parts });
      }
    });
  });
  return records;
}

/**
 * Joins crashes at the same time. Suspects that were sent after the first of them, such as a request that is sent again
 * at once, may be a cause of their own.
 */
function groupByCause(crashes: readonly ITimedCrash[]): readonly ICrashGroup[] {
  const groups: ICrashGroup[] = [];
  const indexById = new Map<string, number>();
  crashes.forEach(({ id, at, joins = '', suspects }) => {
    const index = indexById.get(joins) ?? -1;
    const joined = groups[index];
    if (joined === undefined) {
      indexById.set(id, groups.push({ ids: [id], at, suspects: groupByTrait(suspects) }) - 1);
      return;
    }
    const ids = [...joined.ids, id];
    groups[index] = { ...joined, ids, suspects: commonTraits(joined.suspects, suspects) };
    const later = suspects.filter(({ placedAt }) => placedAt >= joined.at);
    if (later.length > 0) {
      groups.push({ ids: [id], at, suspects: groupByTrait(later) });
    }
  });
  return groups;
}

/** Suspects of both, by trait, for traits that both have. */
function commonTraits(
  known: ICrashGroup['suspects'],
  suspects: readonly ITimedSuspect[],
): ICrashGroup['suspects'] {
  const added = groupByTrait(suspects);
  const common = [...known].filter(([trait]) => added.has(trait));
  return new Map(
    common.map(([trait, others]) => [trait, [...others, ...(added.get(trait) ?? [])]]),
  );
}

/** A crash close to the previous one says something new only if a suspect was sent after that one. */
function isNewEvidence(
  at: commonTypes.Millis,
  suspects: readonly ITimedSuspect[],
  previousAt: commonTypes.Millis | undefined,
): boolean {
  return (
    previousAt === undefined ||
    at - previousAt > REPETITION_WINDOW_MS ||
    suspects.some(({ placedAt }) => placedAt >= previousAt)
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

function isToBlame(trait: string, counted: readonly ICountedCrash[], records: Records): boolean {
  const requests = new Set(counted.flatMap((crash) => crash.requests));
  // A request is the only one with its own trait.
  const isRequest = requests.has(trait);
  if (counted.length < MIN_CRASHES || (!isRequest && requests.size < MIN_REQUESTS_OF_PART)) {
    return false;
  }
  // A request that crashes endpoints does so with all of its parts, which are no other cause.
  const ownParts = isRequest ? counted.flatMap(({ parts }) => parts) : [];
  const excluded = new Set([trait, ...ownParts]);
  if (counted.length < MAX_CRASHES) {
    return otherCauses(new Set(counted.map(({ id }) => id)), records, excluded).length === 0;
  }
  const present = records.get(trait)?.present ?? new Set();
  // A request that is sent again after each crash may meet several crashes that a part of other requests causes.
  return !otherCauses(present, records, excluded).some((other) =>
    isRequest ? other.isPart : other.crashCount > present.size,
  );
}

interface IOtherCause {
  readonly isPart: boolean;
  /** Number of crashes at which it was present. */
  readonly crashCount: number;
}

/** Traits that are not `excluded` and were present in all of the crashes, too. */
function otherCauses(
  crashIds: ReadonlySet<string>,
  records: Records,
  excluded: ReadonlySet<string>,
): readonly IOtherCause[] {
  return [...records]
    .filter(
      ([other, { present }]) =>
        !excluded.has(other) && [...crashIds].every((id) => present.has(id)),
    )
    .map(([other, { counted, present }]) => ({
      isPart: counted[0]?.requests.includes(other) === false,
      crashCount: present.size,
    }));
}

/** Adds to each verdict the other traits that are blamed for the same crashes. */
function withRivals(
  verdicts: ReadonlyMap<string, types.IVerdict>,
  records: Records,
): ReadonlyMap<string, types.IVerdict> {
  const keyOf = (trait: string): string => [...(records.get(trait)?.present ?? [])].join();
  const traitsByKey = new Map<string, string[]>();
  verdicts.forEach((_, trait) => {
    const key = keyOf(trait);
    traitsByKey.set(key, [...(traitsByKey.get(key) ?? []), trait]);
  });
  return new Map(
    [...verdicts].map(([trait, verdict]) => {
      const traits = traitsByKey.get(keyOf(trait)) ?? [];
      return [trait, { ...verdict, rivals: traits.filter((other) => other !== trait) }];
    }),
  );
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
