import type * as commonTypes from '../common/Types.js';

/** Time constant of the exponential decay. */
const TIME_CONSTANT_MS = 2000;

/** Rate of counted events as an exponentially decaying average, in which recent events weigh most. */
export class DecayingRate {
  private decayedAmount = 0;

  private updatedAt: commonTypes.Millis = 0;

  /** Adds `amount` at time `now`. */
  add(amount: number, now: commonTypes.Millis): void {
    this.decay(now);
    this.decayedAmount += amount;
  }

  /** Current rate per millisecond. */
  perMs(now: commonTypes.Millis): number {
    this.decay(now);
    return this.decayedAmount / TIME_CONSTANT_MS;
  }

  private decay(now: commonTypes.Millis): void {
    this.decayedAmount *= Math.exp((this.updatedAt - now) / TIME_CONSTANT_MS);
    this.updatedAt = now;
  }
}
