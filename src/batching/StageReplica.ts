import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** Share of a new observation in the learnt speed. */
const SPEED_SHARE = 0.4;
/** Room kept free, since sizes are approximate. */
const ROOM_SHARE = 0.97;
/** First wait after a failed call; doubles with each further one. */
const SUSPECT_MS = 400;
const MAX_SUSPECT_MS = 3000;
/** An endpoint that took this many times the expected time counts as slow. */
const SLOW_FACTOR = 2.2;
/** A slow endpoint gets a call this often, to see whether it has recovered. */
const SLOW_PROBE_MS = 2500;
/** Wait after a result found no room. */
const ROOM_PAUSE_MS = 120;

/** What the batching knows of one endpoint of a stage service. */
export class StageReplica {
  /** Calls in progress. */
  calls = 0;

  /** When the call in progress should end. */
  expectedEnd: commonTypes.Millis = 0;

  private usedBytes = 0;

  private factor = 1;

  private failures = 0;

  private blockedUntil: commonTypes.Millis = 0;

  private lastCall: commonTypes.Millis = 0;

  /** Knows nothing of `endpoint` yet. */
  constructor(
    readonly endpoint: routing.IEndpoint,
    private readonly limits: routing.IBatchLimits,
  ) {}

  /** Time that a call takes here against the declared costs. */
  get slowness(): number {
    return this.factor;
  }

  /** Room for further results, in bytes. */
  get roomLeft(): number {
    return this.limits.resultCapacityBytes * ROOM_SHARE - this.usedBytes;
  }

  /** Room for results when none is kept, in bytes. */
  get roomTotal(): number {
    return this.limits.resultCapacityBytes * ROOM_SHARE;
  }

  /** Whether a call may start now. */
  isFree(now: commonTypes.Millis): boolean {
    return this.calls < this.limits.maxConcurrentCalls && now >= this.blockedUntil;
  }

  /** Whether it is so slow that others go first. */
  isAvoided(now: commonTypes.Millis): boolean {
    return this.factor > SLOW_FACTOR && now - this.lastCall < SLOW_PROBE_MS;
  }

  /** Time until it may be tried again after failures. */
  blockedFor(now: commonTypes.Millis): commonTypes.Millis {
    return Math.max(0, this.blockedUntil - now);
  }

  /** Declared time of a call with `items`, by the learnt speed. */
  expectedTime(items: number): commonTypes.Millis {
    return this.declaredTime(items) * this.factor;
  }

  /** Notes the start of a call that makes results of `bytes`. */
  begin(now: commonTypes.Millis, items: number, bytes: number): void {
    this.calls += 1;
    this.usedBytes += bytes;
    this.lastCall = now;
    this.expectedEnd = now + this.expectedTime(items);
  }

  /** Notes the end of a call that answered. */
  finish(items: number, took: commonTypes.Millis): void {
    this.calls -= 1;
    this.failures = 0;
    const seen = took / Math.max(1, this.declaredTime(items));
    this.factor += SPEED_SHARE * (Math.max(seen, 0.5) - this.factor);
  }

  /** Notes a call that failed. */
  fail(now: commonTypes.Millis): void {
    this.calls -= 1;
    this.failures += 1;
    const wait = Math.min(SUSPECT_MS * 2 ** (this.failures - 1), MAX_SUSPECT_MS);
    this.blockedUntil = now + wait;
  }

  /** Notes a call that was refused for want of a place. */
  refuse(now: commonTypes.Millis): void {
    this.calls -= 1;
    this.pause(now);
  }

  /** Starts nothing for a moment, since results found no room. */
  pause(now: commonTypes.Millis): void {
    this.blockedUntil = Math.max(this.blockedUntil, now + ROOM_PAUSE_MS);
  }

  /** Counts a result that another planner had made. */
  adopt(bytes: number): void {
    this.usedBytes += bytes;
  }

  /** Gives room back. */
  release(bytes: number): void {
    this.usedBytes = Math.max(0, this.usedBytes - bytes);
  }

  /** A result of this endpoint whose room is given back once. */
  hold(
    handle: string,
    bytes: number,
    expires: commonTypes.Millis,
    onRelease: () => void,
  ): types.IHeldResult {
    let held = true;
    return {
      handle,
      maker: this.endpoint,
      bytes,
      expires,
      release: () => {
        if (held) {
          held = false;
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
