/** Contracts of the load generator. */
import type * as commonTypes from '../common/Types.js';

/** Shapes of arrivals over time. */
export const ARRIVAL_SHAPES = ['poisson', 'burst', 'month-end'] as const;

/** One of ARRIVAL_SHAPES: even, in bursts, or rising through the run as on the last day of a month. */
export type ArrivalShape = (typeof ARRIVAL_SHAPES)[number];

/** Names of the mixes of requests, one for each deployment. */
export const MIX_NAMES = ['kalinaw', 'kommundata'] as const;

/** One of MIX_NAMES. */
export type MixName = (typeof MIX_NAMES)[number];

/** One run of load. */
export interface IVariant {
  readonly name: string;
  /** Addresses of entries, `127.x.y.z:port`; requests take turns over them. */
  readonly entries: readonly string[];
  readonly mix: MixName;
  readonly arrivals: ArrivalShape;
  /** Mean requests a second. */
  readonly rate: number;
  /** Length of the run, in seconds. */
  readonly seconds: number;
  /** Most requests sent. */
  readonly maxRequests: number;
  /** Most requests in flight; those that would be more are counted as unsent. */
  readonly maxInFlight: number;
}

/** A kind of request in a mix. */
export interface IMixKind {
  readonly kind: string;
  /** Share of requests, relative to the other kinds. */
  readonly weight: number;
  /** Deadline by which the answer counts as in time. */
  readonly deadlineMs: commonTypes.Millis;
  readonly workspaces: readonly string[];
  readonly method: string;
  /** Path for the request of an index. */
  path(index: number): string;
  /** JSON body for the request of an index; undefined for none. */
  body(index: number): unknown;
  readonly stream: boolean;
  /** Whether each request carries an idempotency key of its own. */
  readonly keyed: boolean;
}

/** One request to be sent. */
export interface IPlannedRequest {
  readonly index: number;
  /** Moment after the start of the run. */
  readonly at: commonTypes.Millis;
  readonly kind: IMixKind;
  readonly workspace: string;
}

/** How one request ended: `in-time`, `late`, `cut`, `failed` (no answer), or a code of refusal. */
export interface IRequestEnd {
  readonly kind: string;
  readonly outcome: string;
  /** Milliseconds from the planned moment to the last byte. */
  readonly latency: commonTypes.Millis;
}

/** Ends of one kind. */
export interface IKindResult {
  readonly kind: string;
  readonly sent: number;
  readonly inTime: number;
  readonly late: number;
  /** Counts by code of refusal, `cut` and `failed` among them. */
  readonly refused: Readonly<Record<string, number>>;
  /** Share of sent requests answered whole within the deadline, 0 to 1. */
  readonly attainment: number;
  /** Latency of whole answers, in milliseconds; undefined when there was none. */
  readonly p50: number | undefined;
  readonly p95: number | undefined;
  readonly p99: number | undefined;
}

/** What one variant gave. */
export interface IVariantResult {
  readonly variant: string;
  readonly seed: number;
  readonly kinds: readonly IKindResult[];
  /** Requests that were not sent because too many were in flight. */
  readonly unsent: number;
}
