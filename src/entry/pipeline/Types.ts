/** Contracts of pipelines and service calls. */
import type * as http from 'node:http';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';

/** A message of a chat. */
export interface IChatMessage {
  readonly role: string;
  readonly content: string;
}

/** What a caller asks of a pipeline. */
export interface IPipelineInput {
  /** The question or text. */
  readonly text: string;
  /** The chat, where the caller sent one. */
  readonly messages: readonly IChatMessage[];
  /** The whole input as sent, for natural keys. */
  readonly raw: Readonly<Record<string, unknown>>;
}

/** A document on its way through retrieval and reranking. */
export interface IDocument {
  readonly id: string;
  readonly text: string;
  readonly score: number;
}

/** What the stages so far have made. */
export interface IPipelineState {
  readonly input: IPipelineInput;
  readonly embedding: readonly number[];
  readonly documents: readonly IDocument[];
  /** Text of the last generation stage. */
  readonly text: string;
  readonly usage: IUsage;
}

/** Tokens counted by the engines. */
export interface IUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** The call that a stage makes. */
export interface IStageRequest {
  readonly path: string;
  readonly body: Uint8Array;
}

/** Speaks one kind of stage: builds its call and takes in its answer. */
export interface IStageCodec {
  /** The call for this state. */
  buildRequest(stage: configTypes.IStage, state: IPipelineState, stream: boolean): IStageRequest;
  /** The state after the answer; throws RequestError `endpoint-failed` on one that does not fit. */
  applyAnswer(state: IPipelineState, body: Uint8Array): IPipelineState;
}

/** A whole answer to a caller. */
export interface IWholeAnswer {
  readonly kind: 'whole';
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A streamed answer to a caller. */
export interface IStreamAnswer {
  readonly kind: 'stream';
  readonly status: number;
  readonly contentType: string;
  readonly chunks: AsyncIterable<Uint8Array>;
}

/** An answer to a caller. */
export type CallerAnswer = IWholeAnswer | IStreamAnswer;

/** Method, path below the service, headers and body of a call to a plain service. */
export interface IServiceCall {
  readonly method: http.IncomingMessage['method'];
  readonly path: string;
  readonly query: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
}

/** Shape of answer asked of a pipeline. */
export type AnswerShape = 'pipeline' | 'chat' | 'embedding';

/** A pipeline request. */
export interface IPipelineCall {
  readonly pipeline: configTypes.IPipeline;
  readonly input: IPipelineInput;
  readonly stream: boolean;
  readonly shape: AnswerShape;
  readonly idempotencyKey: string | undefined;
  /** Moment of arrival, wall milliseconds. */
  readonly createdAt: commonTypes.Millis;
  readonly ctx: entryTypes.IRequestContext;
}
