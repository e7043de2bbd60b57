import type * as commonTypes from '../common/Types.js';
import type * as blameTable from './BlameTable.js';
import type * as types from './Types.js';

/** A trial without an outcome after this time is given up, and another request is admitted. */
const TRIAL_TIMEOUT_MS = 10_000;
/** Time after the end of a trial in which its outcome becomes known. */
const OUTCOME_DELAY_MS = 1000;

interface ITrial {
  /** Id of the request; undefined once it has ended. */
  readonly id: string | undefined;
  readonly endsAt: commonTypes.Millis;
}

/**
 * Decides which requests a planner admits. While a trait is quarantined there are none. Afterwards one request at a time
 * is admitted as a trial, until one succeeds or crashes its endpoint, which costs at most one endpoint per quarantine.
 */
export class QuarantineGate {
  /** Trials by the traits that are blamed for the same crashes. */
  private readonly trials = new Map<string, ITrial>();

  /** Without `admitsTrials`, a trait stays refused until another VM has seen a success. */
  constructor(
    private readonly table: blameTable.BlameTable,
    private readonly clock: commonTypes.IClock,
    private readonly admitsTrials: boolean,
  ) {}

  /**
   * Returns the refusal of a request, or undefined if it is admitted; `id` names it until `release`.
   *
   * @example
   * const refusal = gate.admit(planId, traits);
   */
  admit(id: string, traits: types.IRequestTraits): types.IQuarantineRefusal | undefined {
    const verdict = this.table.verdictOf(traits);
    if (verdict === undefined) {
      return undefined;
    }
    const refusal = this.table.refusalOf(traits);
    return refusal ?? this.admitTrial(id, verdict);
  }

  /** Records that a request has ended; unknown ids are ignored. */
  release(id: string): void {
    const endsAt = this.clock.monotonic() + OUTCOME_DELAY_MS;
    this.trials.forEach((trial, key) => {
      if (trial.id === id) {
        this.trials.set(key, { id: undefined, endsAt: Math.min(trial.endsAt, endsAt) });
      }
    });
  }

  /** Admits one request at a time for all traits that are blamed for the same crashes. */
  private admitTrial(
    id: string,
    { trait, rivals }: types.IVerdict,
  ): types.IQuarantineRefusal | undefined {
    const key = [trait, ...rivals].sort().join();
    const now = this.clock.monotonic();
    const trial = this.trials.get(key);
    const isTaken = trial !== undefined && trial.id !== id && now < trial.endsAt;
    if (!this.admitsTrials || isTaken) {
      return { trait, retryAfter: isTaken ? trial.endsAt - now : TRIAL_TIMEOUT_MS };
    }
    if (trial?.id !== id) {
      this.trials.set(key, { id, endsAt: now + TRIAL_TIMEOUT_MS });
      this.clock.setTimer(TRIAL_TIMEOUT_MS, () => this.removeEnded(key));
    }
    return undefined;
  }

  private removeEnded(key: string): void {
    if ((this.trials.get(key)?.endsAt ?? 0) <= this.clock.monotonic()) {
      this.trials.delete(key);
    }
  }
}
