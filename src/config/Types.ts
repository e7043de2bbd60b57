/** Data types of the declaration that operators submit. */
import type * as commonTypes from '../common/Types.js';

/** Kinds of pipeline stage. */
export const STAGE_KINDS = ['encoding', 'retrieval', 'reranking', 'generation'] as const;

/** One of STAGE_KINDS. */
export type StageKind = (typeof STAGE_KINDS)[number];

/** Kind of work of the endpoints of a pool: a stage kind for model engines, `service` for a plain service. */
export type PoolKind = StageKind | 'service';

/** Role of a model replica in a pool that splits prefill and decode; `both` if the pool does not split them. */
export type EndpointRole = 'both' | 'prefill' | 'decode';

/**
 * Latency class of a request. `interactive`: a person waits for the answer. `patient`: the caller accepts a long
 * wait, but the answer must arrive, as for a report.
 */
export type Patience = 'interactive' | 'patient';

/** An availability zone. */
export interface IZone {
  readonly name: string;
  readonly region: string;
}

/** Salted hash of a workspace key; the key itself is never stored. */
export interface IKeyHash {
  /** Public part of the key, used to look up the hash. */
  readonly id: string;
  /** Salt in hexadecimal. */
  readonly salt: string;
  /** scrypt or SHA-256 hash of salt and secret in hexadecimal. */
  readonly hash: string;
}

/** A customer of the operator. */
export interface IWorkspace {
  readonly name: string;
  /** Weight relative to other workspaces when they compete for a full pool; above 0. */
  readonly share: number;
  readonly keys: readonly IKeyHash[];
}

/** One server of a pool: a model replica or an instance of a plain service. */
export interface IEndpoint {
  readonly name: string;
  /** `ip:port`, with an IPv6 address in brackets. */
  readonly address: string;
  /** Name of its availability zone. */
  readonly zone: string;
  /** Whether the endpoint rejects an order with an outdated fencing number. */
  readonly checksFencing: boolean;
  readonly role: EndpointRole;
}

/** A set of interchangeable endpoints that do the same kind of work. */
export interface IPool {
  readonly name: string;
  readonly kind: PoolKind;
  /** Whether the engines can resume an interrupted stream from an offset; only for `generation`. */
  readonly resumable: boolean;
  /** Cost of one second of work of one endpoint, in the operator's unit. */
  readonly costPerSecond: number;
  readonly endpoints: readonly IEndpoint[];
}

/** A kind of request with its deadline and targets. */
export interface IRequestKind {
  readonly name: string;
  readonly deadlineMs: commonTypes.Millis;
  readonly patience: Patience;
  /** Target fraction of requests that are answered completely within the deadline: above 0, at most 1. */
  readonly attainmentTarget: number;
  /** Upper target for the cost of one request, in the operator's unit; above 0. */
  readonly costTarget: number;
}

/** One step of a pipeline. */
export interface IStage {
  readonly name: string;
  readonly kind: StageKind;
  readonly pool: string;
  /** Model that the engine is requested to run; the engine's default model if absent. */
  readonly model?: string;
  /** Whether a call of the stage may be repeated; if false, it runs at most once. */
  readonly repeatable: boolean;
  /** Maximum number of tokens that a generation stage may produce. */
  readonly maxTokens?: number;
}

/** A sequence of stages that share the deadline of one kind of request. */
export interface IPipeline {
  readonly name: string;
  /** Name of the kind of request that sets its deadline and targets. */
  readonly kind: string;
  readonly stages: readonly IStage[];
  /** Dotted input fields that identify the work, for pipelines with stages that are not repeatable. */
  readonly naturalKey: readonly string[];
}

/** A call of a plain service, matched by method and path. */
export interface IRoute {
  readonly method: string;
  /** Path relative to the service; a segment in braces matches any one segment: `accounts/{id}/balance`. */
  readonly path: string;
  /** Name of the kind of request that sets its deadline and targets. */
  readonly kind: string;
  /** Whether the call may be repeated; if false, it runs at most once. */
  readonly repeatable: boolean;
  /** Dotted fields of the JSON body that identify the work, for calls that are not repeatable. */
  readonly naturalKey: readonly string[];
}

/** A plain service to which the system forwards calls. */
export interface IService {
  readonly name: string;
  readonly pool: string;
  readonly routes: readonly IRoute[];
}

/** A complete declaration. */
export interface IDeclaration {
  /** Version that this declaration derives from; 0 for the first. */
  readonly version: number;
  readonly name: string;
  readonly zones: readonly IZone[];
  readonly workspaces: readonly IWorkspace[];
  readonly kinds: readonly IRequestKind[];
  readonly pools: readonly IPool[];
  readonly pipelines: readonly IPipeline[];
  readonly services: readonly IService[];
}

/** A declaration in effect; `version` is the number that the control group assigned to it. */
export interface IConfiguration {
  readonly version: number;
  readonly declaration: IDeclaration;
}
