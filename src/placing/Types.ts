/** Contracts of the placement of requests on model engines. */

/** A part of a prompt that several requests may share; parts with the same id have the same text. */
export interface IPromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The prompt of a request as a sequence of parts, with its token counts. */
export interface IPrompt {
  /** Parts in prompt order; the last one belongs to the request or its session alone. */
  readonly parts: readonly IPromptPart[];
  /** Number of prompt tokens. */
  readonly tokensIn: number;
  /** Maximum number of tokens that may be generated. */
  readonly tokensOut: number;
}

/** Availability zone and size of one input of a request. */
export interface IInputLocation {
  readonly zone: string;
  readonly bytes: number;
}

/** A request to place on an engine. */
export interface IPlacementRequest {
  readonly planId: string;
  readonly prompt: IPrompt;
  readonly inputs: readonly IInputLocation[];
  /** Ids of endpoints that failed this request; they are not chosen. */
  readonly avoid: readonly string[];
  /** Software version that the engine must have; undefined for any. */
  readonly version?: string | undefined;
  /** Whether ejected and stalled engines are not chosen, even if there are no others. */
  readonly needsHealthy?: boolean;
}
