/** Contracts between entry VMs and the coordinator that plans the requests of all of them. */
import type * as batching from '../batching/Types.js';
import type * as blame from '../blame/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as textPatch from '../common/wire/TextPatch.js';
import type * as placing from '../placing/Types.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as rooms from '../room/Types.js';
import type * as routing from '../routing/Types.js';
import type * as zoneTypes from '../zones/Types.js';
import type * as streamVersions from './StreamVersions.js';

/** Request for a plan: a caller's request that needs stages or a model engine. */
export interface IPlanRequest {
  /** Id of the plan. Each plan of the same request has another id. */
  readonly planId: string;
  readonly requestId: string;
  /** Hash that resends of the request share; absent means unknown. */
  readonly fingerprint?: string;
  /** Name of the service whose engines run the request. */
  readonly service: string;
  readonly stages: readonly routing.IStage[];
  /** Number of items of each stage, in the order of `stages`; 0 skips the stage. */
  readonly pieces: readonly number[];
  /** Key of the data that the first stages work on. */
  readonly pieceKey: string;
  /** Rank in the stage queues; 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the latency goal. */
  readonly goalLeft: commonTypes.Millis;
  /** Time left until the deadline, after which the caller stops waiting. */
  readonly deadlineLeft: commonTypes.Millis;
  readonly prompt: placing.IPrompt;
  /** Software version of the engine that must run the request; absent means any. */
  readonly version?: string | undefined;
  /**
   * Id of the request that began the stream which this one continues, if `version` is not known; empty if the caller
   * names none.
   */
  readonly continuedId?: string | undefined;
  /** Whether the caller may continue the stream by another request; absent means that it may. */
  readonly isResumable?: boolean;
  /** Ids of engines that failed this request. */
  readonly avoid: readonly string[];
  /** Id of the plan that this one replaces, because that plan was lost or failed. */
  readonly replaces?: string | undefined;
  /** Results that the replaced plan had produced. */
  readonly held: readonly batching.IResultRecord[];
}

/** Receives each result of a plan when it is complete. */
export type ResultListener = (record: batching.IResultRecord) => void;

/** Reason that a plan was refused. The request has not run. */
export type PlanRefusal =
  | 'overloaded'
  | 'too-late'
  | 'stage-failed'
  | 'no-endpoint'
  | 'lost'
  /** No engine of the software version that began the stream is left. */
  | 'version-gone'
  /** It is not known which software version began the stream. */
  | 'version-unknown'
  /** Requests with the same content or prompt part have crashed engines. */
  | 'quarantined';

/** Refusal of a plan request. */
export interface IPlanRefused {
  readonly kind: 'refused';
  readonly reason: PlanRefusal;
  /** Time after which the caller may retry. */
  readonly retryAfter: commonTypes.Millis;
  /** Whether the planner had no time for the request, so that stages and engines may have room for it. */
  readonly isPlannerBusy?: boolean;
}

/**
 * Failure of an engine with a request: `limited` if it only rejected the request for its rate limit, `not-run` if it did
 * not execute the request for another reason, `broken` if there was no complete answer.
 */
export type EngineFailure = 'limited' | 'not-run' | 'broken';

/** End of a race of two engines for the answer to a request. */
export interface IHedgeEnd {
  /** Id of the engine whose call goes on. */
  readonly winner: string;
  /** The other one, if it failed; absent if its call was cancelled. */
  readonly failed?: { readonly endpoint: string; readonly failure: EngineFailure } | undefined;
}

/** Decision of the coordinator on a plan request. */
export type PlanOutcome =
  | {
      readonly kind: 'ready';
      readonly endpoint: routing.IEndpoint;
      /** Handles of the stage results that the engine reads. */
      readonly inputs: readonly string[];
      /** Time after which `hedge` may be called while the engine has not answered; absent for never. */
      readonly hedgeAfter?: commonTypes.Millis;
    }
  | IPlanRefused;

/** Plans requests: runs their stages and chooses an engine for each. */
export interface IPlanner {
  /** Plans a request. Resolves when its stages are complete and an engine is chosen, or when it is refused. */
  plan(req: IPlanRequest, onResult?: ResultListener): Promise<PlanOutcome>;
  /** Chooses another engine for the same results, after the engine with the id `failed` did not answer the request. */
  reassign(planId: string, failed: string, failure: EngineFailure): Promise<PlanOutcome>;
  /**
   * Requests a second engine for a request whose engine has not answered after `hedgeAfter`, for the same results; undefined
   * if it gets none. Followed by `settleHedge` if it gets one.
   */
  hedge(planId: string): Promise<routing.IEndpoint | undefined>;
  /** Records which of two engines has the request from now on; precedes `markStarted`. */
  settleHedge(planId: string, end: IHedgeEnd): void;
  /** Cancels a plan whose caller has left or that is no longer needed. */
  cancel(planId: string): void;
  /**
   * Records that the engine has begun its answer, after which the plan's results are no longer needed. `isSuccess` if it
   * is no error response, which an engine may send without running the request. `slowdown` is what the engine reports.
   */
  markStarted(planId: string, isSuccess: boolean, slowdown?: number): void;
  /**
   * Records that the request has left its engine; `failed` is the id of the engine if it failed the request, `eventGap`
   * the mean time between its events, of an engine that reports slowdowns.
   */
  markEnded(planId: string, failed?: string, eventGap?: commonTypes.Millis): void;
}

/** A stage result with the id of its plan. */
export interface IPlanResult {
  readonly planId: string;
  readonly record: batching.IResultRecord;
}

/** A text that control VMs send to all entry VMs: the configuration, or the endpoints as a JSON array. */
export type FeedTopic = 'document' | 'endpoints';

/** A new text of a topic, either whole or as the difference to a text that the entry VM holds. */
export interface IUpdate {
  readonly kind: 'update';
  readonly topic: FeedTopic;
  /** Version of the configuration, or revision of the endpoint list. */
  readonly version: number;
  /** SHA-256 of the text, in hexadecimal. */
  readonly digest: string;
  /** The whole text, compressed by raw deflate, in base64; absent if `parts` is present. */
  readonly packed?: string;
  /** SHA-256 of the text to which `parts` refers. */
  readonly base?: string;
  readonly parts?: readonly textPatch.PatchPart[];
}

/** Message from an entry VM to a control VM. */
export type UpMessage =
  | {
      readonly kind: 'hello';
      readonly vm: string;
      readonly version: number;
      /** Number of entry VMs that it knows of; absent means unknown. */
      readonly entries?: number;
      /** Address (`ip:port`) at which it connects other VMs to endpoints; absent if it does not. */
      readonly relay?: string;
      /** Digests of the texts that it holds, empty for none; absent if it takes no updates. */
      readonly held?: Readonly<Record<FeedTopic, string>>;
    }
  /** Requests one state message, after which the stream is closed. */
  | { readonly kind: 'probe'; readonly vm: string }
  /** Requests state messages only, until a `hello` on the same stream. Earlier builds send no state before the next interval. */
  | { readonly kind: 'standby'; readonly vm: string }
  | { readonly kind: 'plan'; readonly plan: IPlanRequest }
  | {
      readonly kind: 'again';
      readonly planId: string;
      readonly failed: string;
      /** Whether the engine only rejected the request for its rate limit; absent means false. */
      readonly isHealthy?: boolean;
      /** Whether the engine did not execute the request; absent means false. */
      readonly isNotRun?: boolean;
    }
  | { readonly kind: 'cancel'; readonly planId: string }
  /** The engine of the plan has not answered for its `hedgeAfter`: requests a second one. */
  | { readonly kind: 'hedge'; readonly planId: string }
  /** One of two engines has the request from now on. */
  | { readonly kind: 'hedge-end'; readonly planId: string; readonly end: IHedgeEnd }
  /** The engine has begun its answer; `isError` if that is an error response, absent means false. */
  | {
      readonly kind: 'started';
      readonly planId: string;
      readonly isError?: boolean;
      /** Slowdown that the engine reports; absent if it reports none. */
      readonly slowdown?: number;
    }
  | {
      readonly kind: 'ended';
      readonly planId: string;
      readonly failed?: string;
      /** Mean time between its events; absent if the engine reports no slowdowns, or there were few. */
      readonly eventGap?: commonTypes.Millis;
    }
  /** Results that an earlier coordinator produced and that are to be freed. */
  | { readonly kind: 'spare'; readonly records: readonly batching.IResultRecord[] }
  /** Endpoint list of the entry VM, for a coordinator that has not read one yet. */
  | { readonly kind: 'endpoints'; readonly list: routing.IEndpointList }
  /** Rate limits that the entry VM has seen, where the coordinator may not know them. */
  | { readonly kind: 'limits'; readonly observations: readonly rateLimits.IRateLimitObservation[] }
  /** Cold endpoints that the entry VM knows of, where the coordinator may not know them. */
  | { readonly kind: 'cold'; readonly statements: readonly rateLimits.IColdStatement[] }
  /** Rejections in a second that endpoints bear, as the entry VM has seen them. */
  | {
      readonly kind: 'rejection-limits';
      readonly observations: readonly rateLimits.IRateLimitObservation[];
    }
  /** Request for room at a brittle endpoint. */
  | { readonly kind: 'room'; readonly request: rooms.IRoomRequest }
  /** The room is free again. */
  | { readonly kind: 'room-end'; readonly roomId: string; readonly outcome: rooms.RoomOutcome }
  /** Room that the entry VM uses, for a coordinator that did not grant it. */
  | { readonly kind: 'rooms'; readonly rooms: readonly rooms.IRoomUse[] }
  /** What the entry VM knows of crashes of endpoints, where the coordinator may not know it. */
  | { readonly kind: 'blame'; readonly news: blame.IBlameNews }
  /** Streams that the entry VM has begun lately, for a coordinator that may not know them. */
  | { readonly kind: 'streams'; readonly streams: readonly streamVersions.IStreamRecord[] }
  /** Request for the permission to send one request with a trait whose quarantine has ended. */
  | { readonly kind: 'trial'; readonly trialId: number; readonly traits: blame.IRequestTraits }
  /** Request for the permission to send one request to an endpoint that names a rate limit. */
  | { readonly kind: 'permit'; readonly permitId: number; readonly endpointId: string }
  /** An update could not be applied: requests the whole text. */
  | { readonly kind: 'resend'; readonly topic: FeedTopic }
  | { readonly kind: 'alive' };

/** Message from a control VM to an entry VM. */
export type DownMessage =
  | {
      readonly kind: 'state';
      /** Whether the sender plans requests: it coordinates and has an endpoint list. */
      readonly leads: boolean;
      /** Whether the sender leads with a quorum; false for a former leader that has seen no successor and still plans. */
      readonly confirmed: boolean;
      readonly term: number;
      /** Whether the sender coordinates but has no endpoint list yet. */
      readonly wantsEndpoints: boolean;
      /** Feed address (`ip:port`) of the leader, if known. */
      readonly leader?: string;
      /** Feed addresses (`ip:port`) of all group members known to the sender. */
      readonly members: readonly string[];
      /** Number of entry VMs that were connected to the sender lately, or that one of them knew of. */
      readonly entries: number;
      /**
       * Newest version of the configuration; absent unless the sender leads with a quorum and holds all that was
       * acknowledged. Earlier builds do not send it.
       */
      readonly newestDocument?: number;
    }
  | IUpdate
  /** A configuration, for entry VMs that take no updates. */
  | { readonly kind: 'document'; readonly version: number; readonly text: string }
  /** An endpoint list, for entry VMs that take no updates. */
  | { readonly kind: 'endpoints'; readonly list: routing.IEndpointList }
  /** The availability zones out of service; always before a configuration. Earlier builds do not send it. */
  | { readonly kind: 'zones'; readonly closed: zoneTypes.IClosedZones }
  /** Addresses (`ip:port`) of some other entry VMs that connect this one to endpoints. */
  | { readonly kind: 'relays'; readonly relays: readonly string[] }
  /** Results produced for plans of the entry VM, kept there in case the coordinator is lost. */
  | { readonly kind: 'made'; readonly made: readonly IPlanResult[] }
  /** Rate limits that any VM has seen. */
  | { readonly kind: 'limits'; readonly observations: readonly rateLimits.IRateLimitObservation[] }
  /** Endpoints that are cold, as any VM knows. */
  | { readonly kind: 'cold'; readonly statements: readonly rateLimits.IColdStatement[] }
  /** Rejections in a second that endpoints bear, as any VM has seen them. */
  | {
      readonly kind: 'rejection-limits';
      readonly observations: readonly rateLimits.IRateLimitObservation[];
    }
  | { readonly kind: 'room'; readonly answer: rooms.RoomAnswer }
  /** What any VM knows of crashes of endpoints. */
  | { readonly kind: 'blame'; readonly news: blame.IBlameNews }
  | { readonly kind: 'trial'; readonly answer: blame.ITrialAnswer }
  | { readonly kind: 'permit'; readonly answer: rateLimits.IPermitAnswer }
  /** Answer to a request for a second engine; without an endpoint if there is none. */
  | { readonly kind: 'hedged'; readonly planId: string; readonly endpoint?: routing.IEndpoint }
  | { readonly kind: 'planned'; readonly planId: string; readonly outcome: PlanOutcome };
