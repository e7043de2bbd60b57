import type * as commonTypes from '../common/Types.js';
import * as sharedRateLimiter from './SharedRateLimiter.js';
import type * as types from './Types.js';

/** Part of a rate that all VMs without a coordinator use together; a coordinator may grant the whole rate to others. */
const USABLE_RATIO = 0.2;

interface ISlot {
  readonly endsAt: commonTypes.Millis;
  /** Whether a call of this VM may be sent until the end of the slot. */
  isFree: boolean;
}

/**
 * Rate limiter of a VM without a coordinator. Time is divided into slots, one for each call that all VMs together may
 * send, and each VM draws at random whether a slot is its own. Unused slots expire: if each VM saved up its share, all
 * of them could spend their savings at the same moment.
 */
export class LocalRateLimiter implements types.IEndpointRateLimiter {
  private readonly slots = new Map<string, ISlot>();

  /** `entryVmCount` returns the number of entry VMs that share the rates. */
  constructor(
    private readonly rates: types.IRateSource,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly entryVmCount: () => number,
  ) {
    rates.onChange(({ endpointId }) => this.slots.delete(endpointId));
  }

  /** @inheritdoc */
  rateOf(endpointId: string): number | undefined {
    const sharedRate = this.sharedRateOf(endpointId);
    return sharedRate === undefined ? undefined : sharedRate / this.entryVmCount();
  }

  /** @inheritdoc */
  delayOf(endpointId: string): commonTypes.Millis {
    const slot = this.currentSlot(endpointId);
    return slot === undefined || slot.isFree ? 0 : slot.endsAt - this.clock.monotonic();
  }

  /** @inheritdoc */
  take(endpointId: string): boolean {
    const slot = this.currentSlot(endpointId);
    if (slot === undefined) {
      return true;
    }
    const { isFree } = slot;
    slot.isFree = false;
    return isFree;
  }

  private sharedRateOf(endpointId: string): number | undefined {
    const limit = this.rates.limitOf(endpointId);
    return limit === undefined
      ? undefined
      : Math.max(limit, sharedRateLimiter.MIN_RATE) * USABLE_RATIO;
  }

  /** The slot that has begun last; undefined for an endpoint without a limit. */
  private currentSlot(endpointId: string): ISlot | undefined {
    const rate = this.sharedRateOf(endpointId);
    if (rate === undefined) {
      return undefined;
    }
    const now = this.clock.monotonic();
    const present = this.slots.get(endpointId);
    if (present !== undefined && now < present.endsAt) {
      return present;
    }
    const length = 1000 / rate;
    const start = present === undefined ? now - this.random.next() * length : present.endsAt;
    const endsAt = start + length * (1 + Math.floor((now - start) / length));
    const slot = { endsAt, isFree: this.random.next() < 1 / this.entryVmCount() };
    this.slots.set(endpointId, slot);
    return slot;
  }
}
