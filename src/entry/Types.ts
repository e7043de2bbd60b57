/** Interfaces between the components of the entry process. */
import type * as commonTypes from '../common/Types.js';
import type * as refusals from '../common/Refusals.js';
import type * as configTypes from '../config/Types.js';

/** Collects the costs of attempts while a request runs. */
export interface ICostSink {
  /** Adds the cost of one finished attempt of a stage, in the cost unit of the declaration. */
  add(stage: string, cost: number): void;
}

/** One caller's request while it is processed. */
export interface IRequestContext {
  readonly id: string;
  readonly workspace: string;
  /** Requested pipeline or `service/route`. */
  readonly target: string;
  readonly kind: configTypes.IRequestKind;
  /** Time of arrival, monotonic milliseconds. */
  readonly arrived: commonTypes.Millis;
  /** Time by which the whole answer must be sent, monotonic milliseconds. */
  readonly deadline: commonTypes.Millis;
  /** Hash of workspace, target and body; equal for every resend of the same work. */
  readonly fingerprint: string;
  /** Aborts when the caller disconnects or the deadline passes; the reason is a RequestError. */
  readonly signal: AbortSignal;
  /** Receives the cost of each attempt: its duration in seconds times the pool's cost per second. */
  readonly costs: ICostSink;
}

/** One call to an endpoint. */
export interface IEndpointCall {
  readonly method: string;
  readonly path: string;
  /** Id that the endpoint echoes; unique for each attempt and prefixed with the request's id. */
  readonly callId: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Time from now after which the endpoint may abandon the call, milliseconds. */
  readonly budget: commonTypes.Millis;
  /** Whether the endpoint answers with a stream of server-sent events. */
  readonly stream: boolean;
  /**
   * Whether a repeat of the call is safe. False opens a new connection: on a kept-alive one, a close by
   * the endpoint can not be distinguished from a loss after the endpoint read the call.
   */
  readonly repeatable: boolean;
}

/** A complete answer of an endpoint. */
export interface IEndpointAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Load report that came with the answer, if any. */
  readonly load: ILoadReport | undefined;
}

/** A streamed answer; chunk boundaries need not coincide with those of server-sent events. */
export interface IEndpointStream {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly load: ILoadReport | undefined;
  /** Ends only after the end marker of the stream; throws EndpointError `connection-lost` when cut off. */
  readonly chunks: AsyncIterable<Uint8Array>;
}

/** Load that an endpoint reports about itself. */
export interface ILoadReport {
  /** Requests that the endpoint is processing. */
  readonly running: number;
  /** Requests in the queue of the endpoint. */
  readonly waiting: number;
  /** Fraction of the KV cache in use, 0 to 1. */
  readonly cacheUsed: number;
  /** Age of the report at its receipt, milliseconds. */
  readonly age: commonTypes.Millis;
}

/** Why an attempt at an endpoint failed. */
export type EndpointFailure =
  | 'connect-failed'
  | 'endpoint-refused'
  | 'endpoint-error'
  | 'connection-lost'
  | 'stage-timeout'
  | 'answer-mismatch'
  | 'cancelled';

/** Sends calls to endpoints; each kind of back end has an adapter. */
export interface IEndpointClient extends commonTypes.IDisposable {
  /** Sends one call and reads its whole answer; rejects with EndpointError. */
  call(
    endpoint: configTypes.IEndpoint,
    call: IEndpointCall,
    signal: AbortSignal,
  ): Promise<IEndpointAnswer>;
  /** Sends one call and resolves with the headers of its streamed answer; rejects with EndpointError. */
  stream(
    endpoint: configTypes.IEndpoint,
    call: IEndpointCall,
    signal: AbortSignal,
  ): Promise<IEndpointStream>;
}

/** Outcome of an attempt, from which latency and health estimates are updated. */
export interface IAttemptOutcome {
  readonly ok: boolean;
  readonly failure?: EndpointFailure;
  /** Duration of the attempt, milliseconds. */
  readonly latency: commonTypes.Millis;
  readonly load?: ILoadReport;
}

/** An endpoint selected for one attempt; `settle` must be called exactly once. */
export interface IEndpointChoice {
  readonly endpoint: configTypes.IEndpoint;
  /** Reports an attempt that still runs after `elapsed` milliseconds, longer than usual. */
  observeRunning(elapsed: commonTypes.Millis): void;
  /** Reports the outcome of the attempt. */
  settle(outcome: IAttemptOutcome): void;
}

/** Properties of a request that endpoint selection uses. */
export interface IPickHints {
  /** Hash of the prompt prefix, for prefix affinity. */
  readonly prefix?: string;
  /** Names of endpoints that earlier attempts used. */
  readonly tried: readonly string[];
  /** Kind of work; latencies are compared only within one kind. */
  readonly key?: string;
  /** Requires an endpoint without calls of this VM in flight, which is reserved until `settle`. */
  readonly alone?: boolean;
  readonly role?: configTypes.EndpointRole;
}

/** Selects endpoints. */
export interface IEndpointPicker {
  /** Returns an endpoint of the pool for one attempt, or undefined when none is available. */
  pick(
    pool: configTypes.IPool,
    ctx: IRequestContext,
    hints: IPickHints,
  ): IEndpointChoice | undefined;
  /** Releases an endpoint that was reserved for a request that must run in isolation. */
  cancelReservation(pool: configTypes.IPool, ctx: IRequestContext): void;
}

/** Permit to run one stage in a pool; `release` must be called exactly once. */
export interface IPermit {
  /** Returns the permit and reports the outcome and its latency in milliseconds. */
  release(outcome: 'ok' | 'failed' | 'cancelled', latency: commonTypes.Millis): void;
}

/** Estimates for the work of a stage that requests a permit. */
export interface IStageWork {
  /** Kind of work, by which latency estimates are kept. */
  readonly key: string;
  /** Expected time that the work holds its permit, milliseconds. */
  readonly expected: commonTypes.Millis;
  /** Latest start that can still meet the deadline, monotonic milliseconds. */
  readonly latestStart: commonTypes.Millis;
  /** Whether earlier stages of the request ran; if so, the work waits in the queue until `latestStart`. */
  readonly begun?: boolean;
}

/** Limits the concurrency of each pool and orders its queue. */
export interface IAdmission {
  /** Resolves when the pool has a free permit; rejects with RequestError (`not-run` with regard to this stage). */
  admit(pool: configTypes.IPool, ctx: IRequestContext, work?: IStageWork): Promise<IPermit>;
}

/** One stage or service call; the runner retries it where that is safe. */
export interface IStageCall {
  /** Name of the stage or service, for logs and latency estimates. */
  readonly stage: string;
  readonly pool: configTypes.IPool;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly repeatable: boolean;
  /** Following stages of the pipeline, for which part of the remaining time is reserved. */
  readonly following: readonly IStageRef[];
  readonly prefix?: string;
}

/** Identifies a stage for latency estimates. */
export interface IStageRef {
  readonly target: string;
  readonly stage: string;
}

/** A complete answer of a stage. */
export interface IStageAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A streamed answer of a stage. */
export interface IStageStream {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Server-sent events as bytes; throws RequestError when the stream is cut off and can not resume. */
  readonly chunks: AsyncIterable<Uint8Array>;
}

/** Runs one stage: admission, endpoint selection, retries, hedges and stream resumption. */
export interface IStageRunner {
  /** Runs a call to its complete answer; rejects with RequestError. */
  run(call: IStageCall, ctx: IRequestContext): Promise<IStageAnswer>;
  /**
   * Starts a streamed call; a cut stream resumes on another replica if the pool is resumable. Rejects with
   * RequestError.
   */
  runStream(call: IStageCall, ctx: IRequestContext): Promise<IStageStream>;
  /** Returns the refusal code for a request whose deadline is forecast to be missed; undefined otherwise. */
  forecast(stages: readonly IStageRef[], ctx: IRequestContext): refusals.RefusalCode | undefined;
}
