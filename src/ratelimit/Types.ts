/** Contracts for the request rates that endpoints name for all VMs together. */
import type * as commonTypes from '../common/Types.js';

/**
 * How far a response can be trusted: an `answer` is authentic and no server error, a `failure` is an authentic server
 * error or states that the request was not executed, and anything else is `unverified`, for example a response of
 * another endpoint at the same address.
 */
export type StatementOrigin = 'answer' | 'failure' | 'unverified';

/** What one response says about the rate limit of its endpoint. */
export interface IRateLimitStatement {
  readonly endpointId: string;
  /**
   * Requests per second that the endpoint accepts from all VMs together; `none` if the response names no limit, and
   * `unreadable` if it names one that cannot be decoded.
   */
  readonly limit: number | 'none' | 'unreadable';
  readonly origin: StatementOrigin;
  /** Time, on the monotonic clock, at which the request was sent. */
  readonly sentAt: commonTypes.Millis;
}

/**
 * Kind of a call to an endpoint: a caller's request, a batch of stage items, the release of stage results, or a check
 * whether the endpoint has crashed.
 */
export type CallKind = 'request' | 'stage' | 'release' | 'probe';

/** How much longer an endpoint is cold: it has started lately, or says so, and bears a limited rate only. */
export interface IColdStatement {
  readonly endpointId: string;
  readonly left: commonTypes.Millis;
}

/** Observes what is said of endpoints that are cold. */
export interface IColdObserver {
  /** Records what the endpoint list says of all its endpoints, before the list itself is used. */
  recordListed(statements: readonly IColdStatement[]): void;
  /** Records what an endpoint says of itself. */
  recordAnswered(statement: IColdStatement): void;
  /** Records that nothing listens at an endpoint's address: it will have started lately when it answers again. */
  recordCrash(endpointId: string): void;
}

/** Observes the calls of this VM to endpoints. */
export interface ICallObserver {
  /** Records that a call leaves for an endpoint. */
  recordCall(endpointId: string, kind: CallKind): void;
  /** Records what a response says about the rate limit of its endpoint. */
  recordStatement(statement: IRateLimitStatement): void;
  /** Records what a response says about the number of rejections in a second that its endpoint bears. */
  recordRejectionLimit(statement: IRateLimitStatement): void;
  /** Records that an endpoint says how much longer it is cold. */
  recordCold(statement: IColdStatement): void;
  /** Records that nothing listens at an endpoint's address. */
  recordCrash(endpointId: string): void;
}

/**
 * What a VM knows of the rate limit of one endpoint, as it tells other VMs. Times are ages, since the clocks of VMs
 * differ.
 */
export interface IRateLimitObservation {
  readonly endpointId: string;
  /** Requests per second; null if the endpoint named a limit before and names none any longer. */
  readonly limit: number | null;
  /** Time since the request was sent whose response said so. */
  readonly sentAge: commonTypes.Millis;
  /** Time since that response arrived. */
  readonly receivedAge: commonTypes.Millis;
}

/** A change of what a VM knows of the rate limit of an endpoint. */
export interface IRateLimitChange {
  readonly endpointId: string;
  /** Whether a response to this VM stated it, rather than another VM. */
  readonly isOwn: boolean;
}

/** Knows the rates to which requests to endpoints are limited, for a reason of its own. */
export interface IRateSource {
  /** Fires after the rate of an endpoint may have changed. */
  readonly onChange: commonTypes.IEvent<IRateLimitChange>;
  /** Requests per second that an endpoint accepts from all VMs together; undefined if they are not limited. */
  limitOf(endpointId: string): number | undefined;
  /** Ids of all endpoints with a limit. */
  readonly limitedIds: readonly string[];
}

/** Limits the calls to endpoints that name a rate limit, or are cold. */
export interface IEndpointRateLimiter {
  /** Calls per second that may be sent to an endpoint; undefined if they are not limited. */
  rateOf(endpointId: string): number | undefined;
  /** Time until a call may be sent to an endpoint; 0 if one may be sent now. */
  delayOf(endpointId: string): commonTypes.Millis;
  /** Takes the permission for one call; returns false, and takes nothing, if no call may be sent now. */
  take(endpointId: string): boolean;
}

/** Permissions to send requests to endpoints that name a rate limit, for an entry VM that chooses endpoints itself. */
export interface IPermitService {
  /** Whether an endpoint names a rate limit or is cold. */
  isLimited(endpointId: string): boolean;
  /** Time until it makes sense to request a permit for an endpoint; 0 for now. */
  delayOf(endpointId: string): commonTypes.Millis;
  /**
   * Requests the permission for one request; at once for an endpoint without a limit. After a refusal, `delayOf` is
   * above 0 for a while.
   */
  acquire(endpointId: string): boolean | Promise<boolean>;
}

/** Answer of the coordinator to a request for a permit. */
export interface IPermitAnswer {
  readonly permitId: number;
  readonly isGranted: boolean;
  /** Time until the coordinator may grant a permit for the endpoint. */
  readonly delay: commonTypes.Millis;
}

/** Connection of an entry VM to the coordinator, as far as rate limits are concerned. */
export interface ICoordinatorLink {
  /** Whether a coordinator is connected. */
  readonly isConnected: boolean;
  /** Fires when a coordinator is found, before any other message to it. */
  readonly onCoordinatorFound: commonTypes.IEvent<void>;
  /** Fires for each answer to a request for a permit. */
  readonly onPermit: commonTypes.IEvent<IPermitAnswer>;
  /** Fires for the observations that a control VM sends. */
  readonly onRateLimits: commonTypes.IEvent<readonly IRateLimitObservation[]>;
  /** Fires for the cold endpoints that a control VM sends. */
  readonly onCold: commonTypes.IEvent<readonly IColdStatement[]>;
  /** Requests a permit; has no effect while no coordinator is connected. */
  requestPermit(permitId: number, endpointId: string): void;
  /** Sends observations; has no effect while no coordinator is connected. */
  sendRateLimits(observations: readonly IRateLimitObservation[]): void;
  /** Sends cold endpoints; has no effect while no coordinator is connected. */
  sendCold(statements: readonly IColdStatement[]): void;
}
