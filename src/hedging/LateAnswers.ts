import * as decayingRate from '../batching/DecayingRate.js';
import type * as commonTypes from '../common/Types.js';

/** Late answers of one zone, as a fraction of all, from which the zone counts as their cause. */
const ZONE_RATIO = 0.6;

interface IZoneRates {
  readonly first: decayingRate.DecayingRate;
  readonly late: decayingRate.DecayingRate;
}

/** Rates of first attempts and of late answers of one service, by availability zone. */
export class LateAnswers {
  private readonly zones = new Map<string, IZoneRates>();

  /** Starts without attempts. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Fraction of recent first attempts whose answer was late; 0 without any. */
  get ratio(): number {
    const first = this.total('first');
    return first === 0 ? 0 : this.total('late') / first;
  }

  /** Records a first attempt at an endpoint of the zone. */
  recordFirst(availabilityZone: string): void {
    this.ratesOf(availabilityZone).first.add(1, this.clock.monotonic());
  }

  /** Records that the answer of a first attempt in the zone is late. */
  recordLate(availabilityZone: string): void {
    this.ratesOf(availabilityZone).late.add(1, this.clock.monotonic());
  }

  /** Whether most late answers are those of one zone, and more than its part of the first attempts. */
  isMostlyIn(availabilityZone: string): boolean {
    const now = this.clock.monotonic();
    const rates = this.ratesOf(availabilityZone);
    const lateRatio = rates.late.perMs(now) / Math.max(this.total('late'), Number.EPSILON);
    const firstRatio = rates.first.perMs(now) / Math.max(this.total('first'), Number.EPSILON);
    return lateRatio > ZONE_RATIO && lateRatio > 2 * firstRatio;
  }

  private total(kind: keyof IZoneRates): number {
    const now = this.clock.monotonic();
    return [...this.zones.values()].reduce((sum, rates) => sum + rates[kind].perMs(now), 0);
  }

  private ratesOf(availabilityZone: string): IZoneRates {
    const rates = this.zones.get(availabilityZone) ?? {
      first: new decayingRate.DecayingRate(),
      late: new decayingRate.DecayingRate(),
    };
    this.zones.set(availabilityZone, rates);
    return rates;
  }
}
