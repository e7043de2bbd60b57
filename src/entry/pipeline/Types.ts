/** Contracts of pipelines and service calls. */
import type * as http from 'node:http';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';

/** One message of a chat conversation. */
export interface IChatMessage {
  readonly role: string;
  readonly content: string;
}

/** Input of a pipeline request. */
export interface IPipelineInput {
  /** Question or text to process. */
  readonly text: string;
  /** Messages of the chat; a single user message with `text` when the caller sent no chat. */
  readonly messages: readonly IChatMessage[];
  /** Request body, or its `input` where that is an object; natural keys are read from it. */
  readonly raw: Readonly<Record<string, unknown>>;
}

/** A document returned by a retrieval or reranking stage. */
export interface IDocument {
  readonly id: string;
  readonly text: string;
  readonly score: number;
}

/** Results of the stages that have run so far. */
export interface IPipelineState {
  readonly input: IPipelineInput;
  readonly embedding: readonly number[];
  readonly documents: readonly IDocument[];
  /** Text of the latest generation stage; empty before the first. */
  readonly text: string;
  readonly usage: IUsage;
}

/** Token counts reported by the engines, summed over the generation stages. */
export interface IUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Path and body of the HTTP call of one stage. */
export interface IStageRequest {
  readonly path: string;
  readonly body: Uint8Array;
}

/** Codec of one stage kind: builds the stage's call and applies its answer to the pipeline state. */
export interface IStageCodec {
  /** Builds the call of a stage from the current pipeline state. */
  buildRequest(stage: configTypes.IStage, state: IPipelineState, stream: boolean): IStageRequest;
  /** Returns the state after the answer; throws RequestError `endpoint-failed` when the answer is malformed. */
  applyAnswer(state: IPipelineState, body: Uint8Array): IPipelineState;
}

/** A complete (not streamed) answer to a caller. */
export interface IWholeAnswer {
  readonly kind: 'whole';
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A streamed answer to a caller; its chunks are sent as they arrive. */
export interface IStreamAnswer {
  readonly kind: 'stream';
  readonly status: number;
  readonly contentType: string;
  readonly chunks: AsyncIterable<Uint8Array>;
}

/** An answer to a caller, complete or streamed. */
export type CallerAnswer = IWholeAnswer | IStreamAnswer;

/** A call to a service: method, path relative to the service, query string, content type and body. */
export interface IServiceCall {
  readonly method: http.IncomingMessage['method'];
  readonly path: string;
  readonly query: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
}

/** Answer format that the caller requests from a pipeline. */
export type AnswerShape = 'pipeline' | 'chat' | 'embedding';

/** A validated request to run a pipeline. */
export interface IPipelineCall {
  readonly pipeline: configTypes.IPipeline;
  readonly input: IPipelineInput;
  readonly stream: boolean;
  readonly shape: AnswerShape;
  readonly idempotencyKey: string | undefined;
  /** Arrival time, wall-clock milliseconds. */
  readonly createdAt: commonTypes.Millis;
  readonly ctx: entryTypes.IRequestContext;
}
