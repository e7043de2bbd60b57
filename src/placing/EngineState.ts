import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import * as engineSpeeds from './EngineSpeeds.js';
import type * as promptCacheEstimate from './PromptCacheEstimate.js';
import * as reportedSlowdown from './ReportedSlowdown.js';
import type * as types from './Types.js';

/** Ejection time after the first failure of an engine; doubles with each consecutive failure. */
const MIN_EJECTION_MS = 700;
/** Upper bound of the ejection time. */
const MAX_EJECTION_MS = 5000;
/**
 * An engine with waiting requests that starts none for this long is stalled and gets no more requests; the longest
 * prompts take about one second to read.
 */
const STALL_TIMEOUT_MS = 1500;

/** Load, prompt cache estimate and failures of one engine, as seen by the placer. */
export class EngineState {
  /** Slowdowns that the engine reports. */
  readonly slowdown = new reportedSlowdown.ReportedSlowdown();

  private averageGap: commonTypes.Millis = 0;

  private measuredStreams = 0;

  private placedCount = 0;

  private unreadTokens = 0;

  private ejectionEnd: commonTypes.Millis = 0;

  private consecutiveFailures = 0;

  /**
   * Time when a waiting request last started or left, or else when the first one was placed; undefined while none
   * waits.
   */
  private lastProgressAt: commonTypes.Millis | undefined;

  /** Requests that have been placed but have not started. */
  private waitingCount = 0;

  /** Creates the state of an engine without requests or failures. */
  constructor(
    readonly endpoint: routing.IEndpoint,
    readonly promptCache: promptCacheEstimate.PromptCacheEstimate,
  ) {}

  /** Number of requests placed on the engine, started or not. */
  get placedRequestCount(): number {
    return this.placedCount;
  }

  /** Prompt tokens that the engine still has to read for requests that have not started. */
  get waitingTokens(): number {
    return this.unreadTokens;
  }

  /** Average time between the events of its streams; undefined before it is known, or if the engine reports no slowdown. */
  get pace(): commonTypes.Millis | undefined {
    const isKnown = this.slowdown.isKnown && this.measuredStreams >= engineSpeeds.MIN_STREAMS;
    return isKnown ? this.averageGap : undefined;
  }

  /** Monotonic time until which the engine is ejected; 0 if it has not failed. */
  get ejectedUntil(): commonTypes.Millis {
    return this.ejectionEnd;
  }

  /** Whether requests wait and none has started or left for longer than `STALL_TIMEOUT_MS`. */
  isStalled(now: commonTypes.Millis): boolean {
    return this.lastProgressAt !== undefined && now - this.lastProgressAt > STALL_TIMEOUT_MS;
  }

  /** Adds a request and returns the number of its prompt tokens that the engine has to read. */
  addRequest(prompt: types.IPrompt, now: commonTypes.Millis): number {
    this.waitingCount += 1;
    this.lastProgressAt ??= now;
    const tokens = Math.max(0, prompt.tokensIn - this.promptCache.cachedTokens(prompt));
    this.promptCache.record(prompt);
    this.placedCount += 1;
    this.unreadTokens += tokens;
    return tokens;
  }

  /** Records that a request with `tokens` unread prompt tokens has started; resets the failure count. */
  markStarted(tokens: number, now: commonTypes.Millis): void {
    this.removeWaiting(tokens, now);
    this.consecutiveFailures = 0;
  }

  /** Removes a request with `tokens` unread prompt tokens from those that wait to start. */
  removeWaiting(tokens: number, now: commonTypes.Millis): void {
    this.unreadTokens -= tokens;
    this.waitingCount -= 1;
    this.lastProgressAt = this.waitingCount > 0 ? now : undefined;
  }

  /** Removes a waiting request that another engine answered first, which is no progress of this one. */
  removeOutrun(tokens: number): void {
    this.unreadTokens -= tokens;
    this.waitingCount -= 1;
    if (this.waitingCount === 0) {
      this.lastProgressAt = undefined;
    }
  }

  /** Removes a request from the placed ones, whether or not it had started. */
  removeRequest(): void {
    this.placedCount -= 1;
  }

  /** Records the mean time between the events of a stream that has ended. */
  recordGap(gap: commonTypes.Millis): void {
    this.measuredStreams += 1;
    const weight = Math.max(engineSpeeds.PACE_WEIGHT, 1 / this.measuredStreams);
    this.averageGap += weight * (gap - this.averageGap);
  }

  /** Records a failure and ejects the engine for a time that doubles with each consecutive failure. */
  recordFailure(now: commonTypes.Millis): void {
    this.consecutiveFailures += 1;
    this.ejectionEnd =
      now + Math.min(MIN_EJECTION_MS * 2 ** (this.consecutiveFailures - 1), MAX_EJECTION_MS);
  }
}
