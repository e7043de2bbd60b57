/**
 * Contracts for the room of endpoints that fall over if they have to reject more than a few requests in a second: all VMs
 * together send them no more requests than they run at the same time.
 */
import type * as commonTypes from '../common/Types.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as routing from '../routing/Types.js';

/** How a request left the endpoint whose room it took: `lost` without a response, `rejected` without having run. */
export type RoomOutcome = 'served' | 'lost' | 'rejected' | 'cancelled';

/** Request of an entry VM for room at any endpoint of a service. */
export interface IRoomRequest {
  /** Unique among all VMs and restarts. */
  readonly roomId: string;
  readonly service: string;
  /** Ids of endpoints that are not chosen. */
  readonly excluded: readonly string[];
  /** Longest time for which the request may wait for room. */
  readonly maxWait: commonTypes.Millis;
  /** Time after which the room is free at the latest. */
  readonly maxUse: commonTypes.Millis;
  /** Rank among waiting requests; 0 is the most urgent. */
  readonly priority: number;
  readonly availabilityZone: string;
}

/** Room that a request takes at an endpoint. */
export interface IRoomUse {
  readonly roomId: string;
  readonly endpointId: string;
}

/** Answer of the coordinator to a request for room. */
export type RoomAnswer =
  | { readonly roomId: string; readonly endpointId: string }
  /** `delay` is the time until there may be room. */
  | { readonly roomId: string; readonly delay: commonTypes.Millis };

/** Room that was granted to a request of this VM. */
export interface IRoom {
  readonly endpoint: routing.IEndpoint;
  /** Gives the room back; further calls have no effect. */
  release(outcome: RoomOutcome): void;
}

/** Refusal of room. */
export interface IRoomRefusal {
  /** Time after which the caller may retry. */
  readonly retryAfter: commonTypes.Millis;
}

/** Decides whether another request may be sent to an endpoint that runs `placed` requests of the asking component. */
export interface IRoomCheck {
  /** Whether the number of requests at an endpoint is bounded by what it runs at the same time. */
  isBounded(endpoint: routing.IEndpoint): boolean;
  /** Whether there is room for another request. */
  hasRoom(endpoint: routing.IEndpoint, placed: number): boolean;
}

/** Connection of an entry VM to the coordinator, as far as room is concerned. */
export interface IRoomLink {
  /** Whether a coordinator is connected. */
  readonly isConnected: boolean;
  /** Fires when a coordinator is found, before any other message to it. */
  readonly onCoordinatorFound: commonTypes.IEvent<void>;
  /** Fires when the coordinator is lost, or no longer coordinates. */
  readonly onCoordinatorLost: commonTypes.IEvent<void>;
  /** Fires for each answer to a request for room. */
  readonly onRoom: commonTypes.IEvent<RoomAnswer>;
  /** Fires for the rejection limits that a control VM sends. */
  readonly onRejectionLimits: commonTypes.IEvent<readonly rateLimits.IRateLimitObservation[]>;
  /** Requests room; has no effect while no coordinator is connected. */
  requestRoom(request: IRoomRequest): void;
  /** Gives room back, also if it was granted too late; has no effect while no coordinator is connected. */
  releaseRoom(roomId: string, outcome: RoomOutcome): void;
  /** Tells a new coordinator the room in use; has no effect while no coordinator is connected. */
  sendRooms(rooms: readonly IRoomUse[]): void;
  /** Sends rejection limits; has no effect while no coordinator is connected. */
  sendRejectionLimits(observations: readonly rateLimits.IRateLimitObservation[]): void;
}
