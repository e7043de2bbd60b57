/**
 * Library for operators: builds a declaration from typed, read-only parts and prints it as TOML.
 * Its public types are maintained by hand in `typings/declare.d.ts`; a test checks that both match.
 */
import * as declarations from '../config/Declaration.js';
import * as diff from '../config/Diff.js';
import * as schema from '../config/Schema.js';
import type * as types from '../config/Types.js';

/** File name used in findings for declarations that were not read from a file. */
const DEFAULT_FILE_NAME = 'declaration';
const MS_PER_SECOND = 1000;
const MS_PER_MINUTE = 60 * MS_PER_SECOND;

/** A pool whose kind is part of its type, so that the compiler rejects a stage with a pool of another kind. */
export type PoolOf<K extends types.PoolKind> = types.IPool & { readonly kind: K };

/** Options of `workspace`. */
export interface IWorkspaceOptions {
  readonly share?: number;
  readonly keys?: readonly types.IKeyHash[];
}

/** Options of `interactive` and `patient`. */
export interface IKindOptions {
  readonly deadlineMs: number;
  readonly costTarget: number;
  readonly attainmentTarget?: number;
}

/** Options of `endpoints`. */
export interface IEndpointsOptions {
  readonly addresses: readonly string[];
  readonly zones: readonly types.IZone[];
  readonly checksFencing?: boolean;
  readonly role?: types.EndpointRole;
}

/** Options of `pool`. */
export interface IPoolOptions {
  readonly endpoints: readonly types.IEndpoint[];
  readonly resumable?: boolean;
  readonly costPerSecond?: number;
}

/** Options of a stage. */
export interface IStageOptions<K extends types.StageKind> {
  readonly pool: PoolOf<K>;
  readonly name?: string;
  readonly model?: string;
  readonly repeatable?: boolean;
}

/** Options of a generation stage. */
export interface IGenerationOptions extends IStageOptions<'generation'> {
  readonly maxTokens?: number;
}

/** Options of `pipeline`. */
export interface IPipelineOptions {
  readonly kind: types.IRequestKind;
  readonly stages: readonly types.IStage[];
  readonly naturalKey?: readonly string[];
}

/** Options of `service`. */
export interface IServiceOptions {
  readonly pool: PoolOf<'service'>;
  readonly routes: readonly types.IRoute[];
}

/** Options of `declaration`. */
export interface IDeclarationOptions {
  readonly name: string;
  readonly version?: number;
  readonly zones: readonly types.IZone[];
  readonly workspaces: readonly types.IWorkspace[];
  readonly kinds: readonly types.IRequestKind[];
  readonly pools: readonly types.IPool[];
  readonly pipelines?: readonly types.IPipeline[];
  readonly services?: readonly types.IService[];
}

/** Converts seconds to milliseconds. `typings/declare.d.ts` has examples of this and the functions below. */
export function seconds(count: number): number {
  return count * MS_PER_SECOND;
}

/** Converts minutes to milliseconds. */
export function minutes(count: number): number {
  return count * MS_PER_MINUTE;
}

/** Declares the availability zones of one region. */
export function zones(region: string, names: readonly string[]): readonly types.IZone[] {
  return names.map((name) => ({ name, region }));
}

/** Declares a workspace with its weight and the hashes of its keys. */
export function workspace(name: string, options: IWorkspaceOptions = {}): types.IWorkspace {
  return {
    name,
    share: options.share ?? schema.DECLARATION_DEFAULTS.share,
    keys: options.keys ?? [],
  };
}

function createKind(
  name: string,
  patience: types.Patience,
  options: IKindOptions,
): types.IRequestKind {
  const { deadlineMs, costTarget } = options;
  const attainmentTarget = options.attainmentTarget ?? schema.DECLARATION_DEFAULTS.attainmentTarget;
  return { name, deadlineMs, patience, attainmentTarget, costTarget };
}

/** Declares a kind of request whose caller waits for the answer. */
export function interactive(name: string, options: IKindOptions): types.IRequestKind {
  return createKind(name, 'interactive', options);
}

/** Declares a kind of request whose caller accepts a long wait but must receive the answer. */
export function patient(name: string, options: IKindOptions): types.IRequestKind {
  return createKind(name, 'patient', options);
}

/** Declares endpoints named `prefix-1`, `prefix-2`, … and assigns them to the zones in rotation. */
export function endpoints(prefix: string, options: IEndpointsOptions): readonly types.IEndpoint[] {
  return options.addresses.map((address, index) => ({
    name: `${prefix}-${index + 1}`,
    address,
    zone: options.zones[index % options.zones.length]?.name ?? '',
    checksFencing: options.checksFencing ?? schema.DECLARATION_DEFAULTS.checksFencing,
    role: options.role ?? schema.DECLARATION_DEFAULTS.role,
  }));
}

/** Declares a pool of interchangeable endpoints. */
export function pool<K extends types.PoolKind>(
  name: string,
  kind: K,
  options: IPoolOptions,
): PoolOf<K> {
  return {
    name,
    kind,
    resumable: options.resumable ?? schema.DECLARATION_DEFAULTS.resumable,
    costPerSecond: options.costPerSecond ?? schema.DECLARATION_DEFAULTS.costPerSecond,
    endpoints: options.endpoints,
  };
}

function createStage<K extends types.StageKind>(kind: K, options: IStageOptions<K>): types.IStage {
  return {
    name: options.name ?? kind,
    kind,
    pool: options.pool.name,
    ...(options.model === undefined ? {} : { model: options.model }),
    repeatable: options.repeatable ?? schema.DECLARATION_DEFAULTS.stageRepeatable,
  };
}

/** Declares a stage that computes the embedding of a text. */
export function encoding(options: IStageOptions<'encoding'>): types.IStage {
  return createStage('encoding', options);
}

/** Declares a stage that retrieves the documents nearest to an embedding. */
export function retrieval(options: IStageOptions<'retrieval'>): types.IStage {
  return createStage('retrieval', options);
}

/** Declares a stage that ranks the retrieved documents. */
export function reranking(options: IStageOptions<'reranking'>): types.IStage {
  return createStage('reranking', options);
}

/** Declares a stage in which a model generates the answer. */
export function generation(options: IGenerationOptions): types.IStage {
  const { maxTokens } = options;
  return {
    ...createStage('generation', options),
    ...(maxTokens === undefined ? {} : { maxTokens }),
  };
}

/** Declares a pipeline: a sequence of stages under the deadline of one kind of request. */
export function pipeline(name: string, options: IPipelineOptions): types.IPipeline {
  return {
    name,
    kind: options.kind.name,
    stages: options.stages,
    naturalKey: options.naturalKey ?? [],
  };
}

/** Declares a call of a plain service that may be retried after a failure. */
export function repeatable(method: string, path: string, kind: types.IRequestKind): types.IRoute {
  return { method, path, kind: kind.name, repeatable: true, naturalKey: [] };
}

/** Declares a call of a plain service that must run at most once. */
export function atMostOnce(
  method: string,
  path: string,
  kind: types.IRequestKind,
  naturalKey: readonly string[] = [],
): types.IRoute {
  return { method, path, kind: kind.name, repeatable: false, naturalKey };
}

/** Declares a plain service to which the system forwards calls. */
export function service(name: string, options: IServiceOptions): types.IService {
  return { name, pool: options.pool.name, routes: options.routes };
}

/** Builds and validates a complete declaration; throws FindingsError with every fault found. */
export function declaration(options: IDeclarationOptions): types.IDeclaration {
  const unchecked: types.IDeclaration = {
    version: options.version ?? schema.DECLARATION_DEFAULTS.version,
    name: options.name,
    zones: options.zones,
    workspaces: options.workspaces,
    kinds: options.kinds,
    pools: options.pools,
    pipelines: options.pipelines ?? [],
    services: options.services ?? [],
  };
  return parse(render(unchecked), DEFAULT_FILE_NAME);
}

/** Renders a declaration as the TOML that operators submit. */
export function render(source: types.IDeclaration): string {
  return declarations.renderDeclaration(source);
}

/** Parses and validates TOML; throws FindingsError with every fault found. `file` is only used in findings. */
export function parse(text: string, file: string = DEFAULT_FILE_NAME): types.IDeclaration {
  return declarations.parseDeclaration(file, text);
}

/** Writes a declaration as TOML to standard output. */
export function print(source: types.IDeclaration): void {
  process.stdout.write(render(source));
}

/** Lists the changes from one declaration to another, one line each. */
export function changes(before: types.IDeclaration, after: types.IDeclaration): readonly string[] {
  return diff.diffDeclarations(before, after);
}
