import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import type * as promptCacheEstimate from './PromptCacheEstimate.js';
import type * as types from './Types.js';

/** A failed engine gets nothing for this long; doubles with each further failure. */
const EJECT_MS = 700;
const MAX_EJECT_MS = 5000;
/** An engine that starts nothing for this long, though requests wait there, gets no more; the longest prompts are read in about one second. */
const STUCK_MS = 1500;

/** What the placing knows of one engine. */
export class EngineState {
  private runningCount = 0;

  private tokensToRead = 0;

  private ejected: commonTypes.Millis = 0;

  private failures = 0;

  /** When the first of the requests that have not started was placed; undefined without any. */
  private quietSince: commonTypes.Millis | undefined;

  private unstarted = 0;

  /** Knows nothing of the load of `endpoint` yet. */
  constructor(
    readonly endpoint: routing.IEndpoint,
    readonly promptCache: promptCacheEstimate.PromptCacheEstimate,
  ) {}

  /** Requests that are placed here. */
  get running(): number {
    return this.runningCount;
  }

  /** Prompt tokens of requests that have not started. */
  get waitingTokens(): number {
    return this.tokensToRead;
  }

  /** Until when it gets nothing. */
  get ejectedUntil(): commonTypes.Millis {
    return this.ejected;
  }

  /** Whether requests wait here and none has started for long. */
  isStalled(now: commonTypes.Millis): boolean {
    return this.quietSince !== undefined && now - this.quietSince > STUCK_MS;
  }

  /** Places a request here; the result is what the engine has to read of its prompt. */
  addRequest(prompt: types.IPrompt, now: commonTypes.Millis): number {
    this.unstarted += 1;
    this.quietSince ??= now;
    const tokens = Math.max(0, prompt.tokensIn - this.promptCache.cachedTokens(prompt));
    this.promptCache.record(prompt);
    this.runningCount += 1;
    this.tokensToRead += tokens;
    return tokens;
  }

  /** A request's prompt of `tokens` was read. */
  markStarted(tokens: number, now: commonTypes.Millis): void {
    this.removeWaiting(tokens, now);
    this.failures = 0;
  }

  /** A request of `tokens` left before it had started. */
  removeWaiting(tokens: number, now: commonTypes.Millis): void {
    this.tokensToRead -= tokens;
    this.unstarted -= 1;
    this.quietSince = this.unstarted > 0 ? now : undefined;
  }

  /** A request left. */
  removeRequest(): void {
    this.runningCount -= 1;
  }

  /** A request failed here. */
  recordFailure(now: commonTypes.Millis): void {
    this.failures += 1;
    this.ejected = now + Math.min(EJECT_MS * 2 ** (this.failures - 1), MAX_EJECT_MS);
  }
}
