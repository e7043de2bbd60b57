/** What an operator declares for the routing of requests, and the endpoints that answer them. */
import type * as commonTypes from '../common/Types.js';

/** What may be repeated: `safe` freely, `unsafe` never, `stream` only where it may be resumed. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** Work that must be done, item by item, before a request can run. */
export interface IStage {
  readonly service: string;
  /** Positions of the stages whose results this one needs. */
  readonly after: readonly number[];
  /** Approximate size of one result. */
  readonly resultBytes: number;
}

/** A share of a route's requests that goes to one service. */
export interface ITarget {
  readonly service: string;
  readonly weight: number;
}

/** A route by host and path prefix. */
export interface IRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request is kept. */
  readonly timeout: commonTypes.Millis;
  /** Time within which an answer is worth most. */
  readonly latencyGoal: commonTypes.Millis;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly ITarget[];
  /** Endpoints that may run one request. */
  readonly attempts: number;
  readonly stages: readonly IStage[];
  /** True when no key is asked for. */
  readonly isPublic: boolean;
  readonly resumable: boolean;
}

/** Limits of one endpoint of a service that takes stage calls. */
export interface IBatchLimits {
  /** Calls in progress at once. */
  readonly maxConcurrentCalls: number;
  /** Items of one call. */
  readonly maxItemsPerCall: number;
  readonly callCost: commonTypes.Millis;
  readonly itemCost: commonTypes.Millis;
  /** Room for results. */
  readonly resultCapacityBytes: number;
  /** Life of a result after its call. */
  readonly resultRetention: commonTypes.Millis;
}

/** Limits of one model engine. */
export interface IEngineLimits {
  /** Requests that run at once. */
  readonly slots: number;
  /** Memory for running requests and cached prompt parts. */
  readonly cacheTokens: number;
}

/** A named group of endpoints. */
export interface IService {
  readonly name: string;
  /** Connections that one endpoint takes from all callers together. */
  readonly maxConnections: number;
  readonly batch?: IBatchLimits;
  readonly engine?: IEngineLimits;
}

/** Who holds which keys. */
export interface IWorkspaceKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank that goes before the route's. */
  readonly priority?: number;
}

/** Bounds of what a caller may send. */
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
  /** Absent when no route asks for keys. */
  readonly workspaces?: readonly IWorkspaceKeys[];
}

/** One running incarnation of an endpoint. */
export interface IEndpoint {
  /** New at nearly each start; a request names it so that a successor at the address refuses. */
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** True when it gets nothing new. */
  readonly draining: boolean;
}

/** The endpoints as one reading of the platform had them. */
export interface IEndpointList {
  /** Orders the readings of one source; a later source counts from its own start. */
  readonly revision: number;
  readonly endpoints: readonly IEndpoint[];
}
