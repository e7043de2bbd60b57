import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';
import * as verdictRules from './VerdictRules.js';

/** Time for which a crash counts at least; longer than the longest quarantine, which must not be forgotten before its end. */
export const RETENTION_MS = 900_000;
/** Maximum number of crashes. */
const MAX_CRASHES = 64;
/** Records of crashes of one endpoint within this time are of one crash; a restart takes longer. */
const SAME_CRASH_WINDOW_MS = 1000;
/** Maximum number of suspects of one crash, the first sent ones. */
const MAX_SUSPECTS = 128;

/** Returns the crash of a record that arrived at `now` on the monotonic clock. */
export function timed(
  { id, endpointId, age, joins, suspects }: types.ICrashRecord,
  now: commonTypes.Millis,
): verdictRules.ITimedCrash {
  return {
    id,
    endpointId,
    at: now - age,
    joins,
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

  private readonly idsByTrait = new Map<string, Set<string>>();

  /** Ids under which crashes are kept, by the ids of their other records. */
  private readonly keptIds = new Map<string, string>();

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
    return [...(this.idsByTrait.get(trait) ?? [])]
      .map((id) => this.byId.get(id))
      .filter((crash) => crash !== undefined);
  }

  /** Id of the first crash of those that have the same cause as one at `at`; undefined if there are none. */
  findStartOf(at: commonTypes.Millis): string | undefined {
    return this.crashes.find(
      (crash) =>
        crash.joins === undefined && Math.abs(at - crash.at) <= verdictRules.SAME_CAUSE_WINDOW_MS,
    )?.id;
  }

  /**
   * Adds a crash, or suspects of a known one. Each VM that had requests at the endpoint makes a record of its own; they
   * are kept as one crash. Returns the id under which it is kept, or undefined if the record says nothing new.
   */
  add(crash: verdictRules.ITimedCrash): string | undefined {
    const known = this.byId.get(crash.id) ?? this.findSameCrash(crash);
    const id = known?.id ?? crash.id;
    const added = crash.suspects.filter(
      ({ request }) => !known?.suspects.some((suspect) => suspect.request === request),
    );
    const suspects = [...(known?.suspects ?? []), ...added]
      .sort((a, b) => a.placedAt - b.placedAt)
      .slice(0, MAX_SUSPECTS);
    // A crash without suspects shows that others at the same time have no cause of their own.
    if (known !== undefined && (added.length === 0 || suspects.length === known.suspects.length)) {
      return undefined;
    }
    this.remove(id);
    // Transit makes a crash seem later, never earlier.
    const at = Math.min(crash.at, known?.at ?? crash.at);
    const joins = this.keptId(known?.joins) ?? this.keptId(crash.joins);
    this.byId.set(id, { ...crash, id, at, joins: joins === id ? undefined : joins, suspects });
    if (crash.id !== id) {
      this.keptIds.set(crash.id, id);
    }
    traitsOf(suspects).forEach((trait) => {
      const ids = this.idsByTrait.get(trait) ?? new Set<string>();
      ids.add(id);
      this.idsByTrait.set(trait, ids);
    });
    return id;
  }

  private findSameCrash(crash: verdictRules.ITimedCrash): verdictRules.ITimedCrash | undefined {
    return [...this.byId.values()].find(
      ({ endpointId, at }) =>
        endpointId === crash.endpointId && Math.abs(at - crash.at) <= SAME_CRASH_WINDOW_MS,
    );
  }

  /** Id under which the crash of a record is kept. */
  private keptId(recordId: string | undefined): string | undefined {
    return recordId === undefined ? undefined : (this.keptIds.get(recordId) ?? recordId);
  }

  /**
   * Drops crashes that are too old, unless a verdict with a later crash is based on them, and those over the maximum:
   * first the oldest ones without a verdict. Returns whether there were any.
   */
  purge(verdicts: ReadonlyMap<string, types.IVerdict>): boolean {
    const oldest = this.clock.monotonic() - RETENTION_MS;
    const inForce = [...verdicts.values()].filter(({ lastCrashAt }) => lastCrashAt >= oldest);
    const needed = new Set(inForce.flatMap(({ crashIds }) => crashIds));
    const { crashes } = this;
    const expired = crashes.filter(({ id, at }) => at < oldest && !needed.has(id));
    expired.forEach(({ id }) => this.remove(id));
    const surplus = [
      ...crashes.filter(({ id }) => this.byId.has(id) && !needed.has(id)),
      ...crashes.filter(({ id }) => needed.has(id)),
    ].slice(0, Math.max(0, this.byId.size - MAX_CRASHES));
    surplus.forEach(({ id }) => this.remove(id));
    [...this.keptIds]
      .filter(([, id]) => !this.byId.has(id))
      .forEach(([recordId]) => this.keptIds.delete(recordId));
    return expired.length + surplus.length > 0;
  }

  /** Records of the crashes with these ids, as of `now`. */
  records(ids: readonly string[], now: commonTypes.Millis): readonly types.ICrashRecord[] {
    return ids
      .map((id) => this.byId.get(id))
      .filter((crash) => crash !== undefined)
      .map(({ id, endpointId, at, joins, suspects }) => ({
        id,
        endpointId,
        age: now - at,
        joins,
        suspects: suspects.map(({ request, parts, placedAt }) => ({
          request,
          parts,
          placedAge: now - placedAt,
        })),
      }));
  }

  private remove(id: string): void {
    traitsOf(this.byId.get(id)?.suspects ?? []).forEach((trait) => {
      const ids = this.idsByTrait.get(trait);
      ids?.delete(id);
      if (ids?.size === 0) {
        this.idsByTrait.delete(trait);
      }
    });
    this.byId.delete(id);
  }
}

function traitsOf(suspects: readonly types.IRequestTraits[]): ReadonlySet<string> {
  return new Set(suspects.flatMap(({ request, parts }) => [request, ...parts]));
}
