/** Contracts between entry VMs and the coordinator that plans their requests together. */
import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as placing from '../placing/Types.js';
import type * as routing from '../routing/Types.js';

/** A request that needs stages or a model engine. */
export interface IPlanRequest {
  /** Names the plan; a request that is planned again has another. */
  readonly planId: string;
  readonly requestId: string;
  /** Name of the engines' service. */
  readonly service: string;
  readonly stages: readonly routing.IStage[];
  readonly pieces: readonly number[];
  readonly pieceKey: string;
  readonly priority: number;
  /** Time until the goal is missed. */
  readonly goalLeft: commonTypes.Millis;
  /** Time until the caller stops waiting. */
  readonly deadlineLeft: commonTypes.Millis;
  readonly prompt: placing.IPrompt;
  /** Engines that failed this request. */
  readonly avoid: readonly string[];
  /** The plan that this one replaces, since it was lost or came to nothing. */
  readonly replaces?: string | undefined;
  /** Results that the replaced plan had made. */
  readonly held: readonly batching.IResultRecord[];
}

/** Takes each result of a plan as it is made. */
export type ResultListener = (record: batching.IResultRecord) => void;

/** Why a plan was refused. The request has not run. */
export type PlanRefusal = 'overloaded' | 'too-late' | 'stage-failed' | 'no-endpoint' | 'lost';

/** What the coordinator decided. */
export type PlanOutcome =
  | {
      readonly kind: 'ready';
      readonly endpoint: routing.IEndpoint;
      /** Handles of the results that the engine reads. */
      readonly inputs: readonly string[];
    }
  | {
      readonly kind: 'refused';
      readonly reason: PlanRefusal;
      /** When it is worth to come back. */
      readonly retryAfter: commonTypes.Millis;
    };

/** Plans requests: makes their stages and chooses their engine. */
export interface IPlanner {
  /** Plans a request; resolves once its stages are made or it is refused. */
  plan(req: IPlanRequest, onMade?: ResultListener): Promise<PlanOutcome>;
  /** The chosen engine `failed` before the request ran there: chooses another for the same results. */
  reassign(planId: string, failed: string): Promise<PlanOutcome>;
  /** The caller has left, or the plan is not wanted any more. */
  cancel(planId: string): void;
  /** The engine answers: its inputs are used. */
  markStarted(planId: string): void;
  /** The engine is done with the request; `failed` names an engine that failed it. */
  markEnded(planId: string, failed?: string): void;
}

/** A result, and the plan that it was made for. */
export interface IPlanResult {
  readonly planId: string;
  readonly record: batching.IResultRecord;
}

/** From an entry VM to the coordinator. */
export type UpMessage =
  | { readonly kind: 'hello'; readonly vm: string; readonly version: number }
  /** Only asks for the state. */
  | { readonly kind: 'probe'; readonly vm: string }
  | { readonly kind: 'plan'; readonly plan: IPlanRequest }
  | { readonly kind: 'again'; readonly planId: string; readonly failed: string }
  | { readonly kind: 'cancel'; readonly planId: string }
  | { readonly kind: 'started'; readonly planId: string }
  | { readonly kind: 'ended'; readonly planId: string; readonly failed?: string }
  /** Results of a plan that another coordinator had made, and that nobody needs any more. */
  | { readonly kind: 'spare'; readonly records: readonly batching.IResultRecord[] }
  /** Endpoints as this VM knows them, for a coordinator that has read none yet. */
  | { readonly kind: 'endpoints'; readonly list: routing.IEndpointList }
  | { readonly kind: 'alive' };

/** From a control VM to an entry VM. */
export type DownMessage =
  | {
      readonly kind: 'state';
      /** Whether the sender plans requests. */
      readonly leads: boolean;
      /** Whether a quorum follows the sender; false for one that planned last and knows no successor. */
      readonly confirmed: boolean;
      readonly term: number;
      /** Whether the sender could plan, but knows no endpoints yet. */
      readonly wantsEndpoints: boolean;
      /** `ip:port` of the leader's feed, when known. */
      readonly leader?: string;
      /** `ip:port` of the feed of every control VM that is known. */
      readonly members: readonly string[];
      /** Entry VMs that are connected. */
      readonly entries: number;
    }
  | { readonly kind: 'document'; readonly version: number; readonly text: string }
  | { readonly kind: 'endpoints'; readonly list: routing.IEndpointList }
  /** Results that were made for plans, so that they outlive the coordinator. */
  | { readonly kind: 'made'; readonly made: readonly IPlanResult[] }
  | { readonly kind: 'planned'; readonly planId: string; readonly outcome: PlanOutcome };
