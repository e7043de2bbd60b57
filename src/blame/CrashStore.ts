import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';
import type * as verdictRules from './VerdictRules.js';

/** Time for which a crash counts; longer than the longest quarantine, which must not be forgotten before its end. */
export const RETENTION_MS = 900_000;
/** Maximum number of crashes. */
export const MAX_CRASHES = 64;
/** Maximum number of suspects of one crash, the first sent ones. */
const MAX_SUSPECTS = 128;

/** Returns the crash of a record that arrived at `now` on the monotonic clock. */
export function timed(
  { id, endpointId, age, suspects }: types.ICrashRecord,
  now: commonTypes.Millis,
): verdictRules.ITimedCrash {
  return {
    id,
    endpointId,
    at: now - age,
    suspects: suspects.map(({ request, parts, placedAge }) => ({
      request,
      parts,
      placedAt: now - placedAge,
    })),
  };
}

/** Holds the crashes that count, at most MAX_CRASHES. */
export class CrashStore {
  private readonly byId = new Map<string, verdictRules.ITimedCrash>();

  private idsByTrait: ReadonlyMap<string, readonly string[]> = new Map();

  /** Creates an empty store. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** All crashes, the oldest first. */
  get crashes(): readonly verdictRules.ITimedCrash[] {
    return [...this.byId.values()].sort((a, b) => a.at - b.at || (a.id < b.id ? -1 : 1));
  }

  /** Number of crashes. */
  get size(): number {
    return this.byId.size;
  }

  /** Crashes with a suspect that has the trait. */
  crashesWith(trait: string): readonly verdictRules.ITimedCrash[] {
    return (this.idsByTrait.get(trait) ?? [])
      .map((id) => this.byId.get(id))
      .filter((crash) => crash !== undefined);
  }

  /** Adds a crash, or suspects of a known one; returns whether it says something new. */
  add(crash: verdictRules.ITimedCrash): boolean {
    if (crash.at < this.clock.monotonic() - RETENTION_MS) {
      return false;
    }
    const known = this.byId.get(crash.id);
    const added = crash.suspects.filter(
      ({ request }) => !known?.suspects.some((suspect) => suspect.request === request),
    );
    if (added.length === 0) {
      return false;
    }
    const suspects = [...(known?.suspects ?? []), ...added]
      .sort((a, b) => a.placedAt - b.placedAt)
      .slice(0, MAX_SUSPECTS);
    const isUnchanged = suspects.length === known?.suspects.length;
    // Transit makes a crash seem later, never earlier.
    const at = Math.min(crash.at, known?.at ?? crash.at);
    this.byId.set(crash.id, { ...crash, at, suspects });
    this.indexTraits();
    return !isUnchanged;
  }

  /** Drops crashes that are too old, and those over the maximum: first the oldest ones that no verdict is based on. */
  purge(verdicts: ReadonlyMap<string, types.IVerdict>): void {
    const oldest = this.clock.monotonic() - RETENTION_MS;
    const needed = new Set([...verdicts.values()].flatMap(({ crashIds }) => crashIds));
    const { crashes } = this;
    const expired = crashes.filter(({ at }) => at < oldest);
    const kept = crashes.filter(({ at }) => at >= oldest);
    const byNeed = [
      ...kept.filter(({ id }) => !needed.has(id)),
      ...kept.filter(({ id }) => needed.has(id)),
    ];
    const surplus = byNeed.slice(0, Math.max(0, kept.length - MAX_CRASHES));
    [...expired, ...surplus].forEach(({ id }) => this.byId.delete(id));
    if (expired.length + surplus.length > 0) {
      this.indexTraits();
    }
  }

  /** Records of the crashes with these ids, as of `now`. */
  records(ids: readonly string[], now: commonTypes.Millis): readonly types.ICrashRecord[] {
    return ids
      .map((id) => this.byId.get(id))
      .filter((crash) => crash !== undefined)
      .map(({ id, endpointId, at, suspects }) => ({
        id,
        endpointId,
        age: now - at,
        suspects: suspects.map(({ request, parts, placedAt }) => ({
          request,
          parts,
          placedAge: now - placedAt,
        })),
      }));
  }

  private indexTraits(): void {
    const index = new Map<string, string[]>();
    this.byId.forEach(({ id, suspects }) => {
      const traits = new Set(suspects.flatMap(({ request, parts }) => [request, ...parts]));
      traits.forEach((trait) => index.set(trait, [...(index.get(trait) ?? []), id]));
    });
    this.idsByTrait = index;
  }
}
