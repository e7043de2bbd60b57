/** Contracts of the way of a request through an entry VM. The adapter decodes and encodes what is on the wire. */
import type * as stream from 'node:stream';
import type * as commonTypes from '../common/Types.js';
import type * as placing from '../placing/Types.js';
import type * as routing from '../routing/Types.js';

/** Header names and values in turn, as Node reads and writes them. */
export type RawHeaders = readonly string[];

/** A request that was read whole. */
export interface IIncomingRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly target: string;
  readonly host: string;
  /** Headers that go on to the endpoint as they are. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly arrivedAt: commonTypes.Millis;
  /** Key of a workspace. */
  readonly apiKey: string | undefined;
  /** Time that the caller waits from its arrival. */
  readonly callerTimeout: commonTypes.Millis | undefined;
  /** Event after which the caller wants a stream to go on. */
  readonly lastEventId: string | undefined;
  /** What the engine is to read; absent for plain requests. */
  readonly prompt: placing.IPrompt | undefined;
  /** Items of each stage. */
  readonly pieces: readonly number[];
  readonly pieceKey: string;
}

/** Why the entry answers by itself. */
export type Rejection =
  | 'no-route'
  | 'bad-key'
  | 'not-ready'
  | 'draining'
  | 'overloaded'
  | 'too-late'
  | 'no-endpoint'
  | 'stage-failed'
  | 'endpoint-failed'
  | 'timed-out'
  | 'internal';

/** Answers one caller. */
export interface IResponder {
  /** Whether the caller's connection is gone. */
  readonly isDisconnected: boolean;
  /** Calls back once when the caller's connection is gone before the answer is whole. */
  onDisconnect(listener: () => void): void;
  /** Sends an endpoint's answer whole. */
  answer(answer: IEndpointAnswer, body: Buffer): void;
  /** Begins to pass on an endpoint's answer. */
  begin(answer: IEndpointAnswer): void;
  /** Passes on a part; false when the caller reads too slowly. */
  write(chunk: Buffer): boolean;
  /** Calls back once when the caller reads again. */
  onDrain(listener: () => void): void;
  /** Ends an answer that was passed on whole. */
  end(): void;
  /** Breaks the connection, so that a cut answer never looks whole. */
  abort(): void;
  /** Answers by ourselves; the adapter knows which of them promise that nothing ran. */
  reject(rejection: Rejection, retryAfter?: commonTypes.Millis): void;
}

/** One sending of a request to one endpoint. */
export interface IEndpointCall {
  readonly request: IIncomingRequest;
  readonly endpoint: routing.IEndpoint;
  /** Time that the caller has left. */
  readonly timeLeft: commonTypes.Millis;
  readonly workspace: string | undefined;
  /** 0 is the most urgent; only for engines. */
  readonly enginePriority: number | undefined;
  /** Results of stages that the engine reads. */
  readonly inputs: readonly string[];
  /** Goes before the arrival's. */
  readonly lastEventId: string | undefined;
  /** Connections to this endpoint that this VM may hold. */
  readonly maxConnections: number;
}

/** What an endpoint tells of its load. */
export interface IEndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** An endpoint's answer whose body is still to come. */
export interface IEndpointAnswer {
  readonly status: number;
  /** Headers that go back to the caller. */
  readonly headers: RawHeaders;
  /** It bears the endpoint's signature, the request's id, and a body in no foreign encoding. */
  readonly isGenuine: boolean;
  /**
   * Whether the body's end is marked. Without a mark it ends with its connection, and an endpoint that
   * crashes looks as if it had ended: the caller must get it without a mark, too.
   */
  readonly isFramed: boolean;
  /** The endpoint says that it did not run the request. */
  readonly isNotRun: boolean;
  /** Another endpoint is at the address. */
  readonly isWrongEndpoint: boolean;
  readonly load: IEndpointLoad | undefined;
  readonly body: stream.Readable;
  /** Whether the body came whole; known once it has ended. */
  isComplete(): boolean;
}

/** A call that has begun. */
export interface IStartedCall {
  /** Rejects with EndpointCallError when no answer came. */
  readonly answer: Promise<IEndpointAnswer>;
  /** Breaks the connection, which stops the endpoint's work. */
  cancel(): void;
}

/** No answer came. */
export class EndpointCallError extends Error {
  /** `sent` is false when no byte of the request left this VM. */
  constructor(
    message: string,
    readonly sent: boolean,
  ) {
    super(message);
    this.name = 'EndpointCallError';
  }
}

/** Sends requests to endpoints. */
export interface IEndpointCaller {
  /** Begins a call. */
  send(call: IEndpointCall): IStartedCall;
}
