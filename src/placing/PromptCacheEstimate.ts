import type * as types from './Types.js';

/** Estimates which prompt parts one engine has cached: an LRU list of the parts that were sent to it. */
export class PromptCacheEstimate {
  /** Tokens by part id, least recently used first. */
  private readonly parts = new Map<string, number>();

  private totalTokens = 0;

  /** Creates an empty estimate for a cache of `capacityTokens` tokens. */
  constructor(private readonly capacityTokens: number) {}

  /** Number of cached prompt tokens: those of the leading parts up to the first part that is not cached. */
  cachedTokens(prompt: types.IPrompt): number {
    let cached = 0;
    for (const part of prompt.parts) {
      if (!this.parts.has(part.id)) {
        break;
      }
      cached += part.tokens;
    }
    return cached;
  }

  /** Marks the parts of a prompt as most recently used and evicts the oldest parts beyond the capacity. */
  record(prompt: types.IPrompt): void {
    prompt.parts.forEach((part) => {
      this.totalTokens -= this.parts.get(part.id) ?? 0;
      this.parts.delete(part.id);
      this.parts.set(part.id, part.tokens);
      this.totalTokens += part.tokens;
    });
    for (const [id, tokens] of this.parts) {
      if (this.totalTokens <= this.capacityTokens) {
        break;
      }
      this.parts.delete(id);
      this.totalTokens -= tokens;
    }
  }
}
