import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Maximum number of parts in all estimates that share a count; prompts may have very many parts of a few tokens. */
const MAX_PARTS = 100_000;

/** Number of parts that several estimates hold together. */
export interface IPartCount {
  parts: number;
}

/** Estimates which prompt parts one engine has cached: an LRU list of the parts that were sent to it. */
export class PromptCacheEstimate implements commonTypes.IDisposable {
  /** Tokens by part id, least recently used first. */
  private readonly parts = new Map<string, number>();

  private totalTokens = 0;

  /** Creates an empty estimate for a cache of `capacityTokens` tokens; those that share `count` have one limit of parts. */
  constructor(
    private readonly capacityTokens: number,
    private readonly count: IPartCount = { parts: 0 },
    private readonly maxParts = MAX_PARTS,
  ) {}

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
      this.remove(part.id);
      this.parts.set(part.id, part.tokens);
      this.count.parts += 1;
      this.totalTokens += part.tokens;
    });
    for (const [id] of this.parts) {
      if (this.totalTokens <= this.capacityTokens && this.count.parts <= this.maxParts) {
        break;
      }
      this.remove(id);
    }
  }

  /** Forgets all parts. */
  dispose(): void {
    this.count.parts -= this.parts.size;
    this.parts.clear();
    this.totalTokens = 0;
  }

  private remove(id: string): void {
    const tokens = this.parts.get(id);
    if (tokens !== undefined) {
      this.parts.delete(id);
      this.count.parts -= 1;
      this.totalTokens -= tokens;
    }
  }
}
