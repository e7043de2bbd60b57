import type * as types from './Types.js';

/** Prompt parts that one engine was sent, least recently used first: an estimate of what it keeps. */
export class PromptCacheEstimate {
  private readonly parts = new Map<string, number>();

  private total = 0;

  /** Keeps up to `capacity` tokens. */
  constructor(private readonly capacity: number) {}

  /** Tokens of a prompt that are kept: the parts from its beginning, up to the first that is missing. */
  cachedTokens(prompt: types.IPrompt): number {
    let known = 0;
    for (const part of prompt.parts) {
      if (!this.parts.has(part.id)) {
        break;
      }
      known += part.tokens;
    }
    return known;
  }

  /** Notes that the engine reads a prompt. */
  record(prompt: types.IPrompt): void {
    prompt.parts.forEach((part) => {
      this.total -= this.parts.get(part.id) ?? 0;
      this.parts.delete(part.id);
      this.parts.set(part.id, part.tokens);
      this.total += part.tokens;
    });
    for (const [id, tokens] of this.parts) {
      if (this.total <= this.capacity) {
        break;
      }
      this.parts.delete(id);
      this.total -= tokens;
    }
  }
}
