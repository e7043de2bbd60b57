/** Contracts of second attempts (hedges) that start beside a first one whose answer is late. */
import type * as commonTypes from '../common/Types.js';

/** Limits that an operator sets on the extra work of hedges. */
export interface IHedgeLimits {
  /** Work of hedges as a fraction of the work of first attempts. */
  readonly workRatio: number;
  /** Work that hedges may use at once, as a multiple of the mean work of a first attempt. */
  readonly burst: number;
}

/** A first attempt, as the policy sees it. */
export interface IFirstAttempt {
  readonly service: string;
  readonly availabilityZone: string;
  /**
   * Work that its endpoint does before it answers, and that a hedge repeats; in a unit of the service, for example prompt
   * tokens.
   */
  readonly work: number;
  /** Work that its endpoint has to do before it answers, in the same unit, with what was queued there before. */
  readonly workAhead: number;
}

/** State of the endpoints of a service when a hedge is requested. */
export interface IServiceLoad {
  /** Requests at the endpoints as a fraction of what they run concurrently. */
  readonly occupancy: number;
}

/**
 * Decision on a hedge: `over-limit` if the operator's limit on extra work is used up, `no-room` if the endpoints are needed
 * for first attempts, `all-slow` if so many answers are late that another endpoint would be late, too.
 */
export type HedgeVerdict = 'granted' | 'over-limit' | 'no-room' | 'all-slow';

/** Decides when a hedge starts, and whether one may. */
export interface IHedgePolicy {
  /**
   * Time after the start of a first attempt at which a hedge is worth requesting; undefined while too few answers are
   * known.
   */
  delayFor(attempt: IFirstAttempt): commonTypes.Millis | undefined;
  /** Records that a first attempt starts. */
  recordFirst(attempt: IFirstAttempt): void;
  /** Records that a first attempt was answered, `took` milliseconds after its start. */
  recordAnswer(attempt: IFirstAttempt, took: commonTypes.Millis): void;
  /** Decides on a hedge beside a late first attempt; takes its work from the limit if it is granted. */
  request(attempt: IFirstAttempt, load: IServiceLoad): HedgeVerdict;
  /** Whether late answers of a service come from one zone for the most part, so that a hedge there would be late, too. */
  isZoneLate(service: string, availabilityZone: string): boolean;
}
