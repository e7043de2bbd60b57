/** Types of the routing configuration that an operator declares, and of the endpoint list. */
import type * as commonTypes from '../common/Types.js';

/**
 * Retry policy of a route: `safe` requests may run more than once, `unsafe` requests at most once, and `stream`
 * requests more than once only if the route is resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** Preprocessing by another service that must finish, item by item, before a request can run. */
export interface IStage {
  readonly service: string;
  /** Indices, in the route's list of stages, of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** Approximate size of one result, in bytes. */
  readonly resultBytes: number;
}

/** A service that receives a part of a route's requests, in proportion to its weight. */
export interface ITarget {
  readonly service: string;
  readonly weight: number;
}

/** A route, selected by host and path prefix. */
export interface IRoute {
  readonly name: string;
  readonly host: string;
  /** Path prefix; starts and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Maximum time from the arrival of a request to the end of its response. */
  readonly timeout: commonTypes.Millis;
  /** Target for the time from arrival to response; a later response still counts, but for less. */
  readonly latencyGoal: commonTypes.Millis;
  /** Priority level; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly ITarget[];
  /** Number of endpoints that may execute one request; attempts that an endpoint rejects do not count. */
  readonly maxExecutions: number;
  readonly stages: readonly IStage[];
  /** Whether requests without a valid workspace key are accepted. */
  readonly isPublic: boolean;
  /** Whether an interrupted event stream may be resumed on another endpoint. */
  readonly resumable: boolean;
}

/** Limits and cost model of one endpoint of a service that runs stages. */
export interface IBatchLimits {
  /** Calls that the endpoint runs concurrently. */
  readonly maxConcurrentCalls: number;
  /** Items in one call. */
  readonly maxItemsPerCall: number;
  /** Declared fixed processing time of a call. */
  readonly callCost: commonTypes.Millis;
  /** Declared additional processing time of each item of a call. */
  readonly itemCost: commonTypes.Millis;
  /** Memory for stored results, in bytes. */
  readonly resultCapacityBytes: number;
  /** Time for which the endpoint stores a result after the call that produced it. */
  readonly resultRetention: commonTypes.Millis;
}

/** Limits of one endpoint that runs a model engine. */
export interface IEngineLimits {
  /** Requests that the engine runs concurrently. */
  readonly slots: number;
  /** Memory for running requests and cached prompt parts, in tokens. */
  readonly cacheTokens: number;
}

/** What an endpoint bears for some time after its start, and whenever it says that it is cold. */
export interface IWarmUp {
  /** Time from the start of an endpoint for which it is cold. */
  readonly duration: commonTypes.Millis;
  /** Requests per second that a cold endpoint bears from all VMs together. */
  readonly rate: number;
}

/** A named group of interchangeable endpoints. */
export interface IService {
  readonly name: string;
  /** Connections that one endpoint accepts, from all entry VMs together. */
  readonly maxConnections: number;
  /** Set for services that run stages. */
  readonly batch?: IBatchLimits;
  /** Set for services that run a model engine. */
  readonly engine?: IEngineLimits;
  /** Set for services whose endpoints bear a limited rate only while they are cold. */
  readonly warmUp?: IWarmUp;
}

/** A workspace and the API keys that identify its requests. */
export interface IWorkspaceKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority?: number;
}

/** Limits on the requests of callers: sizes in bytes, and read timeouts. */
export interface ICallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: commonTypes.Millis;
  readonly idleTimeout: commonTypes.Millis;
}

/** One version of the routing configuration. */
export interface IRoutingTable {
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: ReadonlyMap<string, IService>;
  readonly limits: ICallerLimits;
  /** Undefined if no route requires a key. */
  readonly workspaces?: readonly IWorkspaceKeys[];
}

/** One incarnation of a running endpoint process. */
export interface IEndpoint {
  /**
   * Changes at almost every restart. Each request names the id, so that a successor process at the same address
   * rejects requests that were meant for its predecessor.
   */
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Version of its software; empty if the list names none. Streams of two versions do not fit together. */
  readonly version?: string;
  /** Requests that the endpoint runs concurrently. */
  readonly slots: number;
  /** Whether the endpoint is shutting down and must not receive new requests. */
  readonly draining: boolean;
}

/** The endpoints, as returned by one read of the platform's list. */
export interface IEndpointList {
  /** Increases with each change that a reader sees; each reader counts from its own start. */
  readonly revision: number;
  readonly endpoints: readonly IEndpoint[];
}
