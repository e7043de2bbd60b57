/**
 * anvildeck/declare: builds a declaration from typed, read-only parts and prints the TOML to submit.
 *
 * @example
 * import * as declare from 'anvildeck/declare';
 *
 * const zones = declare.zones('north', ['north-a', 'north-b']);
 * const lookup = declare.interactive('lookup', { deadlineMs: 500, costTarget: 0.02 });
 * const register = declare.pool('register', 'service', {
 *   endpoints: declare.endpoints('register', { addresses: ['10.0.0.1:8000'], zones }),
 * });
 * declare.print(
 *   declare.declaration({
 *     name: 'example',
 *     zones,
 *     workspaces: [declare.workspace('acme')],
 *     kinds: [lookup],
 *     pools: [register],
 *     services: [
 *       declare.service('register', {
 *         pool: register,
 *         routes: [declare.repeatable('GET', 'accounts/{id}/balance', lookup)],
 *       }),
 *     ],
 *   }),
 * );
 */

/** Kind of a pipeline stage. */
export type StageKind = 'encoding' | 'retrieval' | 'reranking' | 'generation';

/** Kind of work of the endpoints of a pool: a stage kind for model engines, `service` for a plain service. */
export type PoolKind = StageKind | 'service';

/** Role of a model replica in a pool that splits prefill and decode; `both` if the pool does not split them. */
export type EndpointRole = 'both' | 'prefill' | 'decode';

/**
 * Latency class of a request. `interactive`: the caller waits for the answer. `patient`: the caller accepts a long
 * wait but must receive the answer.
 */
export type Patience = 'interactive' | 'patient';

/** An availability zone. */
export interface IZone {
  /** Name, unique in the declaration. */
  readonly name: string;
  /** Region that contains the zone. */
  readonly region: string;
}

/** Stored form of a workspace key. `anvildeckctl key new` prints it together with the key. */
export interface IKeyHash {
  /** Public part of the key, used to look up the hash. */
  readonly id: string;
  /** Salt in hexadecimal. */
  readonly salt: string;
  /** SHA-256 hash of salt and secret in hexadecimal. */
  readonly hash: string;
}

/** A customer of the operator. */
export interface IWorkspace {
  readonly name: string;
  /** Weight relative to other workspaces when they compete for a full pool; above 0. */
  readonly share: number;
  /** Hashes of the keys that callers may use; if empty, every call of the workspace is rejected. */
  readonly keys: readonly IKeyHash[];
}

/** One server of a pool: a model replica or an instance of a plain service. */
export interface IEndpoint {
  /** Name, unique in the declaration. */
  readonly name: string;
  /** `ip:port` with a numeric IP address, IPv6 in brackets; unique in the declaration. */
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
  /** Cost of one second of work of one endpoint, in a unit that the operator chooses; 0 or more. */
  readonly costPerSecond: number;
  /** Endpoints of the pool; at least one. */
  readonly endpoints: readonly IEndpoint[];
}

/** A pool whose kind is part of its type, so that the compiler rejects a stage with a pool of another kind. */
export type PoolOf<K extends PoolKind> = IPool & { readonly kind: K };

/** A kind of request with its deadline and targets. */
export interface IRequestKind {
  readonly name: string;
  /** Time in milliseconds in which the complete answer must be sent: an integer above 0, at most one day. */
  readonly deadlineMs: number;
  readonly patience: Patience;
  /** Target fraction of requests that are answered completely within the deadline; above 0, at most 1. */
  readonly attainmentTarget: number;
  /** Upper target for the cost of one request, in the operator's unit; above 0. */
  readonly costTarget: number;
}

/** One step of a pipeline. */
export interface IStage {
  /** Name, unique in its pipeline; cost reports use it to identify the stage. */
  readonly name: string;
  readonly kind: StageKind;
  /** Name of a pool of the same kind. */
  readonly pool: string;
  /** Model that the engine is requested to run; the engine's default model if absent. */
  readonly model?: string;
  /** Whether a call of the stage may be repeated after a failure; if false, it runs at most once. */
  readonly repeatable: boolean;
  /** Maximum number of tokens that a generation stage may produce. */
  readonly maxTokens?: number;
}

/** A sequence of three to six stages that share the deadline of one kind of request. */
export interface IPipeline {
  readonly name: string;
  /** Name of the kind of request that sets its deadline and targets. */
  readonly kind: string;
  readonly stages: readonly IStage[];
  /** Dotted input fields that identify the work, for a pipeline with a stage that runs at most once. */
  readonly naturalKey: readonly string[];
}

/** A call of a plain service, matched by method and path. */
export interface IRoute {
  /** GET, HEAD, POST, PUT, PATCH or DELETE. */
  readonly method: string;
  /** Path relative to the service, without a leading slash; `{id}` matches any one segment. */
  readonly path: string;
  /** Name of the kind of request that sets its deadline and targets. */
  readonly kind: string;
  /** Whether the call may be repeated after a failure; if false, it runs at most once. */
  readonly repeatable: boolean;
  /** Dotted fields of the JSON body that identify the work, for a call that runs at most once. */
  readonly naturalKey: readonly string[];
}

/** A plain service to which the system forwards calls of `/v1/services/{name}/…`. */
export interface IService {
  readonly name: string;
  /** Name of a pool of kind `service`. */
  readonly pool: string;
  /** Accepted calls, at least one; a call that matches none is rejected. */
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

/** Options of `workspace`. */
export interface IWorkspaceOptions {
  /** Weight relative to other workspaces; 1 if absent. */
  readonly share?: number;
  /** Hashes of the keys of the workspace; none if absent. */
  readonly keys?: readonly IKeyHash[];
}

/** Options of `interactive` and `patient`. */
export interface IKindOptions {
  /** Time in milliseconds in which the complete answer must be sent. */
  readonly deadlineMs: number;
  /** Upper target for the cost of one request, in the operator's unit. */
  readonly costTarget: number;
  /** Target fraction of requests that are answered completely within the deadline; 0.99 if absent. */
  readonly attainmentTarget?: number;
}

/** Options of `endpoints`. */
export interface IEndpointsOptions {
  /** Address of each endpoint as `ip:port`. */
  readonly addresses: readonly string[];
  /** Availability zones, assigned to the endpoints in rotation. */
  readonly zones: readonly IZone[];
  /** Whether the endpoints reject orders with an outdated fencing number; false if absent. */
  readonly checksFencing?: boolean;
  /** Role of the endpoints; `both` if absent. */
  readonly role?: EndpointRole;
}

/** Options of `pool`. */
export interface IPoolOptions {
  readonly endpoints: readonly IEndpoint[];
  /** Whether the engines can resume interrupted streams; false if absent. */
  readonly resumable?: boolean;
  /** Cost of one second of work of one endpoint, in the operator's unit; 0 if absent. */
  readonly costPerSecond?: number;
}

/** Options of a stage. */
export interface IStageOptions<K extends StageKind> {
  readonly pool: PoolOf<K>;
  /** Name of the stage; its kind if absent. Required if a pipeline has two stages of one kind. */
  readonly name?: string;
  /** Model that the engine is requested to run; the engine's default model if absent. */
  readonly model?: string;
  /** Whether a call of the stage may be repeated after a failure; true if absent. */
  readonly repeatable?: boolean;
}

/** Options of a generation stage. */
export interface IGenerationOptions extends IStageOptions<'generation'> {
  /** Maximum number of tokens that the stage may produce; the limit of the engine if absent. */
  readonly maxTokens?: number;
}

/** Options of `pipeline`. */
export interface IPipelineOptions {
  readonly kind: IRequestKind;
  /** Three to six stages in the order in which they run. */
  readonly stages: readonly IStage[];
  /** Dotted input fields that identify the work; none if absent. */
  readonly naturalKey?: readonly string[];
}

/** Options of `service`. */
export interface IServiceOptions {
  readonly pool: PoolOf<'service'>;
  readonly routes: readonly IRoute[];
}

/** Options of `declaration`. */
export interface IDeclarationOptions {
  readonly name: string;
  /** Version that the declaration derives from; 0 if absent. */
  readonly version?: number;
  readonly zones: readonly IZone[];
  readonly workspaces: readonly IWorkspace[];
  readonly kinds: readonly IRequestKind[];
  readonly pools: readonly IPool[];
  readonly pipelines?: readonly IPipeline[];
  readonly services?: readonly IService[];
}

/**
 * Converts seconds to milliseconds.
 *
 * @example
 * declare.interactive('summary', { deadlineMs: declare.seconds(8), costTarget: 9 });
 */
export function seconds(count: number): number;

/**
 * Converts minutes to milliseconds.
 *
 * @example
 * declare.patient('audit', { deadlineMs: declare.minutes(10), costTarget: 40 });
 */
export function minutes(count: number): number;

/**
 * Declares the availability zones of one region.
 *
 * @example
 * const zones = declare.zones('luzon', ['luzon-a', 'luzon-b']);
 */
export function zones(region: string, names: readonly string[]): readonly IZone[];

/**
 * Declares a workspace with its weight and the hashes of its keys.
 *
 * @example
 * declare.workspace('fishers', { share: 3, keys: [{ id: '3f9c', salt: '00ff', hash: '…' }] });
 */
export function workspace(name: string, options?: IWorkspaceOptions): IWorkspace;

/**
 * Declares a kind of request whose caller waits for the answer.
 *
 * @example
 * declare.interactive('balance-lookup', { deadlineMs: 800, costTarget: 0.02 });
 */
export function interactive(name: string, options: IKindOptions): IRequestKind;

/**
 * Declares a kind of request whose caller accepts a long wait but must receive the answer. Under overload, such
 * requests keep a minimum share of each pool.
 *
 * @example
 * declare.patient('audit-narrative', { deadlineMs: declare.minutes(2), costTarget: 40 });
 */
export function patient(name: string, options: IKindOptions): IRequestKind;

/**
 * Declares endpoints named `prefix-1`, `prefix-2`, … and assigns them to the zones in rotation.
 *
 * @example
 * declare.endpoints('llm', { addresses: ['10.0.0.1:8000', '10.0.0.2:8000'], zones });
 */
export function endpoints(prefix: string, options: IEndpointsOptions): readonly IEndpoint[];

/**
 * Declares a pool of interchangeable endpoints.
 *
 * @example
 * const llm = declare.pool('llm', 'generation', { endpoints, resumable: true, costPerSecond: 1 });
 */
export function pool<K extends PoolKind>(name: string, kind: K, options: IPoolOptions): PoolOf<K>;

/**
 * Declares a stage that computes the embedding of a text.
 *
 * @example
 * declare.encoding({ pool: encoders, model: 'text-encoder' });
 */
export function encoding(options: IStageOptions<'encoding'>): IStage;

/**
 * Declares a stage that retrieves the documents nearest to an embedding.
 *
 * @example
 * declare.retrieval({ pool: retrievers });
 */
export function retrieval(options: IStageOptions<'retrieval'>): IStage;

/**
 * Declares a stage that ranks the retrieved documents.
 *
 * @example
 * declare.reranking({ pool: rerankers });
 */
export function reranking(options: IStageOptions<'reranking'>): IStage;

/**
 * Declares a stage in which a model generates the answer.
 *
 * @example
 * declare.generation({ pool: llm, model: 'writer', maxTokens: 400 });
 */
export function generation(options: IGenerationOptions): IStage;

/**
 * Declares a pipeline: a sequence of stages under the deadline of one kind of request.
 *
 * @example
 * declare.pipeline('summary', { kind: summary, stages: [encode, retrieve, generate] });
 */
export function pipeline(name: string, options: IPipelineOptions): IPipeline;

/**
 * Declares a call of a plain service that may be retried after a failure.
 *
 * @example
 * declare.repeatable('GET', 'accounts/{account}/balance', balanceLookup);
 */
export function repeatable(method: string, path: string, kind: IRequestKind): IRoute;

/**
 * Declares a call of a plain service that must run at most once. With a natural key, requests whose bodies have
 * equal values in these fields are the same work; without one, callers must send an `Idempotency-Key` header.
 *
 * @example
 * declare.atMostOnce('POST', 'postings', posting, ['account', 'document_number']);
 */
export function atMostOnce(
  method: string,
  path: string,
  kind: IRequestKind,
  naturalKey?: readonly string[],
): IRoute;

/**
 * Declares a plain service to which the system forwards calls.
 *
 * @example
 * declare.service('share-register', { pool: register, routes: [balance, posting] });
 */
export function service(name: string, options: IServiceOptions): IService;

/**
 * Builds and validates a complete declaration.
 *
 * @throws FindingsError with every fault found; its `message` has one line per fault.
 * @example
 * const declaration = declare.declaration({ name, zones, workspaces, kinds, pools, pipelines, services });
 */
export function declaration(options: IDeclarationOptions): IDeclaration;

/**
 * Renders a declaration as the TOML that operators submit.
 *
 * @example
 * fs.writeFileSync('kalinaw.toml', declare.render(declaration));
 */
export function render(source: IDeclaration): string;

/**
 * Parses and validates TOML; `file` is only used as the name in findings.
 *
 * @throws FindingsError with every fault found; its `message` has one line per fault.
 * @example
 * const declaration = declare.parse(fs.readFileSync('kalinaw.toml', 'utf8'), 'kalinaw.toml');
 */
export function parse(text: string, file?: string): IDeclaration;

/**
 * Writes a declaration as TOML to standard output.
 *
 * @example
 * declare.print(declaration); // node declaration.js > declaration.toml
 */
export function print(source: IDeclaration): void;

/**
 * Lists the changes from one declaration to another, one line each. The list is empty if they differ at most in
 * their version.
 *
 * @example
 * declare.changes(before, after); // ['~ kinds.lookup.deadline_ms: 500 -> 400']
 */
export function changes(before: IDeclaration, after: IDeclaration): readonly string[];
