import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** Weight of a new observation in the average slowdown. */
const SMOOTHING_RATIO = 0.4;
/** Fraction of the declared result capacity that is used; the rest stays free because result sizes are approximate. */
const USABLE_CAPACITY_RATIO = 0.97;
/** Backoff after the first failed call; doubles with each consecutive failure. */
const BACKOFF_BASE_MS = 400;
const MAX_BACKOFF_MS = 3000;
/** An endpoint whose average slowdown exceeds this ratio counts as slow. */
const SLOW_RATIO = 2.2;
/** Interval between calls to a slow endpoint, which probe whether it has recovered. */
const SLOW_PROBE_INTERVAL_MS = 2500;
/** Pause before the next call after the endpoint had no free capacity for a result or no free call slot. */
const FULL_PAUSE_MS = 120;

/** Load, speed and failure state of one endpoint of a stage service. */
export class StageReplica {
  /** Number of calls in progress. */
  activeCalls = 0;

  /** Expected end of the latest call, on the monotonic clock. */
  expectedEnd: commonTypes.Millis = 0;

  private usedBytes = 0;

  private smoothedSlowdown = 1;

  private consecutiveFailures = 0;

  private blockedUntil: commonTypes.Millis = 0;

  private lastCallStart: commonTypes.Millis = 0;

  /** Starts with the declared speed and the whole result capacity free. */
  constructor(
    readonly endpoint: routing.IEndpoint,
    private readonly limits: routing.IBatchLimits,
  ) {}

  /** Average ratio of the measured to the declared time of a call. */
  get slowdown(): number {
    return this.smoothedSlowdown;
  }

  /** Free result capacity, in bytes; negative when overcommitted. */
  get freeBytes(): number {
    return this.limits.resultCapacityBytes * USABLE_CAPACITY_RATIO - this.usedBytes;
  }

  /** Result capacity available on an empty endpoint, in bytes. */
  get usableBytes(): number {
    return this.limits.resultCapacityBytes * USABLE_CAPACITY_RATIO;
  }

  /** Whether the limit on concurrent calls allows another one and no backoff or pause is in effect. */
  canStartCall(now: commonTypes.Millis): boolean {
    return this.activeCalls < this.limits.maxConcurrentCalls && now >= this.blockedUntil;
  }

  /** Whether the endpoint is slow and its next probe is not yet due. */
  isBypassed(now: commonTypes.Millis): boolean {
    return this.smoothedSlowdown > SLOW_RATIO && now - this.lastCallStart < SLOW_PROBE_INTERVAL_MS;
  }

  /** Whether a backoff after a failed call is in effect. */
  isBackingOff(now: commonTypes.Millis): boolean {
    return this.consecutiveFailures > 0 && now < this.blockedUntil;
  }

  /** Time until the backoff or pause ends, in milliseconds; 0 when none is in effect. */
  remainingBlock(now: commonTypes.Millis): commonTypes.Millis {
    return Math.max(0, this.blockedUntil - now);
  }

  /** Declared time of a call with `items` items, scaled by the average slowdown. */
  expectedTime(items: number): commonTypes.Millis {
    return this.declaredTime(items) * this.smoothedSlowdown;
  }

  /** Records the start of a call and reserves `bytes` for its results. */
  recordCallStart(now: commonTypes.Millis, items: number, bytes: number): void {
    this.activeCalls += 1;
    this.usedBytes += bytes;
    this.lastCallStart = now;
    this.expectedEnd = now + this.expectedTime(items);
  }

  /** Records a call that returned outcomes, and updates the average slowdown. */
  recordCallEnd(items: number, duration: commonTypes.Millis): void {
    this.activeCalls -= 1;
    this.consecutiveFailures = 0;
    const observedSlowdown = duration / Math.max(1, this.declaredTime(items));
    // An observation counts as at least 0.5, so that the average slowdown never falls below 0.5.
    this.smoothedSlowdown +=
      SMOOTHING_RATIO * (Math.max(observedSlowdown, 0.5) - this.smoothedSlowdown);
  }

  /** Records a failed call and starts the backoff. */
  recordCallFailure(now: commonTypes.Millis): void {
    this.activeCalls -= 1;
    this.consecutiveFailures += 1;
    const backoff = Math.min(BACKOFF_BASE_MS * 2 ** (this.consecutiveFailures - 1), MAX_BACKOFF_MS);
    this.blockedUntil = now + backoff;
  }

  /**
   * Records a call that the endpoint refused because it had no free call slot, and pauses new calls for `minPause` at
   * least.
   */
  recordCallRefusal(now: commonTypes.Millis, minPause: commonTypes.Millis): void {
    this.activeCalls -= 1;
    this.pauseAfterFull(now);
    this.blockedUntil = Math.max(this.blockedUntil, now + minPause);
  }

  /** Blocks new calls for a fixed time after the endpoint reported that it was full, even if it has capacity sooner. */
  pauseAfterFull(now: commonTypes.Millis): void {
    this.blockedUntil = Math.max(this.blockedUntil, now + FULL_PAUSE_MS);
  }

  /** Reserves capacity for a result that a call of another planner or an earlier job produced. */
  reserve(bytes: number): void {
    this.usedBytes += bytes;
  }

  /** Releases reserved result capacity. */
  release(bytes: number): void {
    this.usedBytes = Math.max(0, this.usedBytes - bytes);
  }

  /**
   * Creates a result of this endpoint, for which capacity is reserved already. Its capacity is released only once.
   */
  createHeldResult(
    handle: string,
    bytes: number,
    expiresAt: commonTypes.Millis,
    onRelease: () => void,
  ): types.IHeldResult {
    let isHeld = true;
    return {
      handle,
      maker: this.endpoint,
      bytes,
      expiresAt,
      release: () => {
        if (isHeld) {
          isHeld = false;
          this.release(bytes);
          onRelease();
        }
      },
    };
  }

  private declaredTime(items: number): commonTypes.Millis {
    return this.limits.callCost + this.limits.itemCost * items;
  }
}
