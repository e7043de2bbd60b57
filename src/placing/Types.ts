/** Contracts of the choice of a model engine. */

/** A part of a prompt that requests may share. */
export interface IPromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request's prompt is made of. */
export interface IPrompt {
  /** In order; the last part is the request's own or its session's. */
  readonly parts: readonly IPromptPart[];
  readonly tokensIn: number;
  /** Most tokens that may be made. */
  readonly tokensOut: number;
}
