/** Contracts of the stand-ins: small fakes of what surrounds the system. */
import type * as http from 'node:http';
import type * as commonTypes from '../common/Types.js';

/** Kinds of stand-in. */
export const STANDIN_KINDS = ['engine', 'stages', 'service', 'platform', 'weights'] as const;

/** One of STANDIN_KINDS: model engine, stage pool member, plain service, platform list, weight store. */
export type StandinKind = (typeof STANDIN_KINDS)[number];

/** Switches for faults, all off by default; shares are of calls, 0 to 1. */
export interface IStandinFaults {
  /** Added to each call, in milliseconds. */
  readonly delayMs: commonTypes.Millis;
  /** Multiplies the time of all work. */
  readonly stragglerFactor: number;
  /** A call whose body contains this text crashes the stand-in; empty for none. */
  readonly crashMarker: string;
  /** How long a crashed stand-in stays away, in milliseconds. */
  readonly restartMs: commonTypes.Millis;
  /** Streams are cut after this token, unless they resume another; 0 for never. */
  readonly cutAtToken: number;
  /** Share of calls whose answer is that of another call, its id included. */
  readonly crossedShare: number;
  /** Answers leave this long after the budget of their call has passed, in milliseconds; 0 for in time. */
  readonly lateMs: commonTypes.Millis;
  /** Share of calls refused with 503 before they run. */
  readonly refuseShare: number;
  /** Share of calls answered with 500 after they ran. */
  readonly errorShare: number;
  /** Share of calls that run and whose connection closes without an answer. */
  readonly dropShare: number;
  /** The stand-in is about to go: health says so, and work that comes later is counted apart. */
  readonly leaving: boolean;
  /** Most that a load report lags, in milliseconds. */
  readonly loadLagMs: commonTypes.Millis;
  /** How late cache events are published, in milliseconds. */
  readonly cacheLagMs: commonTypes.Millis;
  /** Share of cache events that are lost. */
  readonly cacheGapShare: number;
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing: boolean;
  /** Weight loads that the store allows in a second. */
  readonly weightsPerSecond: number;
  /** How late the platform list shows a change, in milliseconds. */
  readonly listLagMs: commonTypes.Millis;
}

/** The one table of defaults of the switches. */
export const DEFAULT_FAULTS: IStandinFaults = {
  delayMs: 0,
  stragglerFactor: 1,
  crashMarker: '',
  restartMs: 200,
  cutAtToken: 0,
  crossedShare: 0,
  lateMs: 0,
  refuseShare: 0,
  errorShare: 0,
  dropShare: 0,
  leaving: false,
  loadLagMs: 0,
  cacheLagMs: 0,
  cacheGapShare: 0,
  checksFencing: true,
  weightsPerSecond: 10,
  listLagMs: 0,
};

/** A VM as the platform lists it. */
export interface IListedVm {
  readonly name: string;
  /** `ip:port`. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** What one stand-in is. */
export interface IStandinOptions {
  readonly name: string;
  readonly kind: StandinKind;
  /** `ip:port` to listen on; port 0 takes a free one. */
  readonly listen: string;
  /** Calls worked on at once. */
  readonly slots: number;
  /** Calls that may wait for a slot; more are refused with 503. */
  readonly queueLimit: number;
  /** Time of one call's work before its first token, in milliseconds. */
  readonly serviceMs: commonTypes.Millis;
  /** Share of serviceMs by which single calls vary up and down, 0 to 1. */
  readonly jitter: number;
  /** Time between two tokens, in milliseconds. */
  readonly tokenMs: commonTypes.Millis;
  /** Tokens of an answer that names no lower `max_tokens`. */
  readonly tokens: number;
  /** Prompt prefixes that the cache of an engine holds; a hit halves serviceMs. */
  readonly cachePrefixes: number;
  /** Dotted fields of a JSON body that name the work, to count its runs by. */
  readonly keyFields: readonly string[];
  /** What the platform list shows besides the stand-ins of its process. */
  readonly vms: readonly IListedVm[];
  readonly faults: Partial<IStandinFaults>;
}

/** The one table of defaults of the options. */
export const DEFAULT_OPTIONS: Omit<IStandinOptions, 'name' | 'kind'> = {
  listen: '127.0.0.1:0',
  slots: 64,
  queueLimit: 1024,
  serviceMs: 5,
  jitter: 0,
  tokenMs: 10,
  tokens: 32,
  cachePrefixes: 64,
  keyFields: [],
  vms: [],
  faults: {},
};

/** One call, read whole. */
export interface ICall {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  /** `X-Request-Id`, empty when absent. */
  readonly id: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** Milliseconds that the caller gave it; undefined when it named none. */
  readonly budget: commonTypes.Millis | undefined;
  /** Aborts when the connection closes. */
  readonly signal: AbortSignal;
}

/** A whole answer. */
export interface IReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly json: unknown;
}

/** Calls that cost work and those that only ask or order. */
export interface IHandler {
  /** Whether the call takes a slot and is counted as a run. */
  isWork(call: ICall): boolean;
  /** Answers the call; undefined when it wrote to `res` itself. */
  handle(call: ICall, res: http.ServerResponse): Promise<IReply | undefined>;
}

/** What handlers may use of the stand-in they belong to. */
export interface IStandinContext {
  readonly options: IStandinOptions;
  /** The switches as they are now. */
  readonly faults: IStandinFaults;
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
}

/** What a stand-in has counted. */
export interface IRunReport {
  readonly name: string;
  readonly incarnation: string;
  /** Runs by key. */
  readonly runs: Readonly<Record<string, number>>;
  /** All runs. */
  readonly total: number;
  /** Keys whose counts were dropped to keep the table bounded. */
  readonly evicted: number;
  /** Runs that began more than LEAVING_GRACE_MS after the stand-in was leaving. */
  readonly afterLeaving: number;
  /** Calls whose connection the caller closed before the answer was out. */
  readonly cancelled: number;
}

/** How long after the start of leaving new work is still forgiven, in milliseconds. */
export const LEAVING_GRACE_MS = 3000;
