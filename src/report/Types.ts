/** Accounting rows of the control state and the report that is built from them; field names are part of the JSON. */
import type * as commonTypes from '../common/Types.js';

/** Cost of one stage, or of the service behind a route. */
export interface IStageCost {
  /** Name of the stage, or of the service for its routes. */
  readonly stage: string;
  /** Cost in the operator's unit. */
  readonly cost: number;
  readonly attempts: number;
}

/** Requests of one workspace to one target with the same kind and outcome in one period. */
export interface IRollup {
  /** Start of the period. */
  readonly period: commonTypes.Millis;
  /** Length of the period in milliseconds: an hour, or a day for old rows. */
  readonly span: commonTypes.Millis;
  readonly workspace: string;
  /** Pipeline, or `service/route`. */
  readonly target: string;
  /** Name of the kind of request. */
  readonly kind: string;
  /** `in-time`, `late`, `unknown` or a code of REFUSALS. */
  readonly outcome: string;
  readonly count: number;
  /** Request counts, indexed by bucket of LatencyBuckets. */
  readonly latency: readonly number[];
  readonly costs: readonly IStageCost[];
}

/** A period for which the accounting of one entry VM is lost. */
export interface IMissingReport {
  /** Name of the entry VM. */
  readonly name: string;
  readonly from: commonTypes.Millis;
  readonly to: commonTypes.Millis;
}

/** Accounting of the control state, the input of a report. */
export interface IAccounting {
  readonly rows: readonly IRollup[];
  readonly missing: readonly IMissingReport[];
}

/** Targets of one kind of request, from the declaration in force. */
export interface IKindTarget {
  readonly name: string;
  readonly attainmentTarget: number;
  readonly costTarget: number;
}

/** A day, month or quarter of UTC. */
export interface ISpan {
  /** Notation on the command line: `2026-Q4`, `2026-12` or `2026-12-03`. */
  readonly label: string;
  readonly from: commonTypes.Millis;
  /** Exclusive end. */
  readonly to: commonTypes.Millis;
}

/** Outcomes of one kind of request over a span. */
export interface IKindSummary {
  readonly kind: string;
  /** Requests that ended, including refused ones. */
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  readonly unknown: number;
  readonly refused: number;
  /** Ratio of requests answered completely in time; undefined without requests. */
  readonly attainment: number | undefined;
  readonly attainmentTarget: number | undefined;
  /** Mean cost of a request in the operator's unit; undefined without requests. */
  readonly costPerRequest: number | undefined;
  readonly costTarget: number | undefined;
  /** Upper bounds of the latency buckets that hold the median and the 95th percentile of complete answers. */
  readonly p50: commonTypes.Millis | undefined;
  readonly p95: commonTypes.Millis | undefined;
}

/** Attainment of one kind in one step of the time axis. */
export interface IAttainmentPoint {
  readonly kind: string;
  /** Start of the step. */
  readonly from: commonTypes.Millis;
  readonly requests: number;
  /** Undefined without requests; rendered as missing, never as 0 or 1. */
  readonly attainment: number | undefined;
}

/** One step of the time axis: a week, or an hour in a report on one day. */
export interface IStep {
  readonly label: string;
  readonly from: commonTypes.Millis;
  readonly to: commonTypes.Millis;
  /** Requests of the workspace of the report, or of all workspaces. */
  readonly requests: number;
  /** Whether any workspace has rows in this step; an idle workspace is not a missing record. */
  readonly recorded: boolean;
  /** Names of entry VMs whose accounting has a gap in this step. */
  readonly gaps: readonly string[];
  /** Whether the step begins after the time of the report. */
  readonly future: boolean;
}

/** Cost of one stage over a span. */
export interface IStageSummary {
  readonly stage: string;
  readonly cost: number;
  readonly attempts: number;
}

/** Requests of one kind that ended with the same code. */
export interface IRefusalSummary {
  readonly code: string;
  readonly kind: string;
  readonly count: number;
}

/** Number of complete answers of one kind in one latency bucket. */
export interface ILatencyCount {
  readonly kind: string;
  /** Bucket of LatencyBuckets. */
  readonly bucket: number;
  readonly count: number;
}

/** A complete report, the input of the renderers. */
export interface IReport {
  readonly span: ISpan;
  /** Undefined for a report on all workspaces together. */
  readonly workspace: string | undefined;
  readonly madeAt: commonTypes.Millis;
  readonly kinds: readonly IKindSummary[];
  readonly steps: readonly IStep[];
  readonly attainment: readonly IAttainmentPoint[];
  readonly stages: readonly IStageSummary[];
  readonly refusals: readonly IRefusalSummary[];
  readonly latency: readonly ILatencyCount[];
  readonly missing: readonly IMissingReport[];
}
