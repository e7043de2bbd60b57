/**
 * Interfaces between the gateway of an entry VM and the adapter that encodes and decodes HTTP for its callers and
 * its endpoints.
 */
import type * as stream from 'node:stream';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as responseEnd from '../common/wire/ResponseEnd.js';
import type * as placing from '../placing/Types.js';
import type * as routing from '../routing/Types.js';
import type * as bodyMemory from './BodyMemory.js';
import type * as retryBudget from './RetryBudget.js';

/** Retry-After value while all endpoints of a service are in zones out of service; an operator returns them. */
export const OUT_OF_SERVICE_RETRY_AFTER_MS = 1000;

/** Alternating header names and values, in the format of `rawHeaders` of `node:http`. */
export type RawHeaders = readonly string[];

/** A request of a caller whose body was received completely. */
export interface IIncomingRequest {
  /** Id of the request; names it in logs and towards endpoints. */
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly host: string;
  /** Headers that are forwarded to the endpoint unchanged. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Time of arrival on the monotonic clock. */
  readonly arrivedAt: commonTypes.Millis;
  /** Key that identifies the workspace. */
  readonly apiKey: string | undefined;
  /** Time, counted from arrival, for which the caller waits for a response. */
  readonly callerTimeout: commonTypes.Millis | undefined;
  /** Id of the event after which the caller resumes a stream. */
  readonly lastEventId: string | undefined;
  /** Id of the request that began the stream which this one continues; undefined if the caller names none. */
  readonly continuedId: string | undefined;
  /** Prompt for the model engine; undefined for plain requests. */
  readonly prompt: placing.IPrompt | undefined;
  /** Number of items of each stage, in the order of the route's stages. */
  readonly pieces: readonly number[];
  /** Key of the input that the first stages read; empty if the caller sent none. */
  readonly pieceKey: string;
}

/** Reason for which the entry VM rejects a request or reports its failure, instead of an endpoint's response. */
export type Rejection =
  | 'no-route'
  | 'bad-key'
  | 'not-ready'
  /** The configuration of this VM has no such route or key, and it is not known whether it is the newest one. */
  | 'config-unconfirmed'
  | 'draining'
  | 'overloaded'
  | 'too-late'
  | 'no-endpoint'
  /** No endpoint of the software version that began the stream is left. */
  | 'version-gone'
  /** It is not known which software version began the stream. */
  | 'version-unknown'
  | 'stage-failed'
  /** Requests with the same content or prompt part have crashed endpoints. */
  | 'quarantined'
  | 'endpoint-failed'
  | 'timed-out'
  | 'internal';

/**
 * How a caller's connection closed before its response was complete: `caller-closed` if the caller ended it, `reset` if
 * it failed, `closed-here` if this process closed it.
 */
export type DisconnectCause = 'caller-closed' | 'reset' | 'closed-here';

/** Writes the response to one caller. */
export interface IResponder {
  /** Whether the connection closed before the response was complete. */
  readonly isDisconnected: boolean;
  /** Calls `listener` once if the connection closes before the response is complete. */
  onDisconnect(listener: (cause: DisconnectCause) => void): void;
  /** Sets the time by which the caller must have read the response; the connection is closed then. */
  limitSending(deadline: commonTypes.Millis): void;
  /** Sends the complete response of an endpoint. */
  answer(answer: IEndpointAnswer, body: Buffer): void;
  /** Sends the status and headers of an endpoint's response; the body follows with `write` and `end`. */
  begin(answer: IEndpointAnswer): void;
  /** Sends a part of the body; returns false if the write buffer is full, until `onDrain` signals. */
  write(chunk: Buffer): boolean;
  /** Calls `listener` once when the write buffer has drained. */
  onDrain(listener: () => void): void;
  /** Ends a response whose body was sent completely. */
  end(): void;
  /** Destroys the connection, so that the caller cannot mistake a truncated response for a complete one. */
  abort(): void;
  /**
   * Sends an error response of the entry VM. The adapter chooses the status code, and by it whether the response
   * guarantees that the request was not executed.
   */
  reject(rejection: Rejection, retryAfter?: commonTypes.Millis): void;
}

/** One attempt to run a request on one endpoint. */
export interface IEndpointCall {
  readonly request: IIncomingRequest;
  readonly endpoint: routing.IEndpoint;
  /** Time until the deadline of the request. */
  readonly timeLeft: commonTypes.Millis;
  /** Name of the workspace; undefined for requests without one. */
  readonly workspace: string | undefined;
  /** Scheduling priority for model engines, 0 is the most urgent; undefined for plain services. */
  readonly enginePriority: number | undefined;
  /** Handles of the stage results that the engine reads. */
  readonly inputs: readonly string[];
  /** Overrides `lastEventId` of the request. */
  readonly lastEventId: string | undefined;
  /** Maximum number of connections from this VM to the endpoint. */
  readonly maxConnections: number;
  /** Whether the request may be executed again if its connection is lost; absent means that it may. */
  readonly isRepeatable?: boolean;
}

/** Load that an endpoint reports with a response. */
export interface IEndpointLoad {
  /** Requests that are being executed. */
  readonly running: number;
  /** Requests that are queued. */
  readonly waiting: number;
  /** Requests that the endpoint runs concurrently. */
  readonly slots: number;
  /**
   * Time that work takes there at this moment, relative to the usual time there; absent if the endpoint does not say.
   */
  readonly slowdown?: number;
}

/** Head of an endpoint's response, and its body as a stream. */
export interface IEndpointAnswer {
  readonly status: number;
  /** Headers that are returned to the caller. */
  readonly headers: RawHeaders;
  /** Whether it has the endpoint's signature header and the id of the request, and its body is not content-encoded. */
  readonly isGenuine: boolean;
  /** Media type of the body, in lower case and without parameters; empty if the response names none. */
  readonly mediaType: string;
  /**
   * Whether the body is delimited, by Content-Length or chunked encoding. The end of an undelimited body is the end of its
   * connection: a reset shows that it broke off, the end of the endpoint's process does not.
   */
  readonly isFramed: boolean;
  /** Whether the endpoint states that it did not execute the request. */
  readonly isNotRun: boolean;
  /** Whether a caller would take its status for a statement that the request was not executed, which it does not make. */
  readonly looksNotRun: boolean;
  /** Whether the address now belongs to another endpoint, which rejected the request. */
  readonly isWrongEndpoint: boolean;
  /** Whether the response names a rate limit, so that a rejection says nothing about the health of the endpoint. */
  readonly namesRateLimit: boolean;
  /** Load report; undefined if the response has none. */
  readonly load: IEndpointLoad | undefined;
  readonly body: stream.Readable;
  /** Whether the body was received completely; valid once it has ended. */
  isComplete(): boolean;
  /** How the body ended; valid once it has. */
  bodyEnd(): responseEnd.EndKind;
}

/** A call in progress. */
export interface IStartedCall {
  /** Resolves with the head of the response; rejects with EndpointCallError if there is none. */
  readonly answer: Promise<IEndpointAnswer>;
  /** Destroys the connection, which makes the endpoint abandon the request. */
  cancel(): void;
}

/** Reports that a call ended without a response. */
export class EndpointCallError extends Error {
  /**
   * `sent` is false if no byte of the request left this VM, so that the endpoint cannot have executed it. `isRefused` is
   * true if nothing listens at the endpoint's address, as this VM and another one see it, if another one is known.
   */
  constructor(
    message: string,
    readonly sent: boolean,
    readonly isRefused = false,
  ) {
    super(message);
    this.name = 'EndpointCallError';
  }
}

/** Sends requests to endpoints. */
export interface IEndpointCaller {
  /** Starts a call and returns at once. A call to an endpoint that is not open fails unsent, also after a wait. */
  send(call: IEndpointCall): IStartedCall;
  /** Whether an endpoint may get a new request: its zone is in service and the list does not show it as leaving. */
  isOpen(endpoint: routing.IEndpoint): boolean;
  /** Whether this VM has lost its own path to an endpoint, so that a failed call says nothing about the endpoint. */
  hasLostPath(endpoint: routing.IEndpoint): Promise<boolean>;
  /** Whether this VM has lost its own path to an endpoint, or to any other, as far as is known without a check. */
  isPathInDoubt(endpoint: routing.IEndpoint): boolean;
}

/** Collaborators of every request handler. */
export interface IRequestHandlerDependencies {
  readonly clock: commonTypes.IClock;
  readonly caller: IEndpointCaller;
  readonly budget: retryBudget.RetryBudget;
  /** Memory for responses that are read completely before they are sent. */
  readonly memory: bodyMemory.IBodyMemory;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  /** Maximum number of connections from this VM to one endpoint of a service. */
  readonly maxConnections: (service: string) => number;
}
