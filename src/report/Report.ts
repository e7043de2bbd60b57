/** Aggregates accounting rows into a report. */
import * as latencyBuckets from '../common/LatencyBuckets.js';
import type * as commonTypes from '../common/Types.js';
import * as spans from './Spans.js';
import type * as types from './Types.js';

const MEDIAN_QUANTILE = 0.5;
const TAIL_QUANTILE = 0.95;

/** Parameters of a report. */
export interface IReportRequest {
  readonly span: types.ISpan;
  /** Restricts the report to one workspace; it covers all when absent. */
  readonly workspace?: string;
  readonly targets: readonly types.IKindTarget[];
  /** Time of the report; steps that start later are marked as future. */
  readonly madeAt: commonTypes.Millis;
}

function sumOf<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}

function countRequests(rows: readonly types.IRollup[], outcome?: string): number {
  const counted = outcome === undefined ? rows : rows.filter((row) => row.outcome === outcome);
  return sumOf(counted, (row) => row.count);
}

function computeAttainment(rows: readonly types.IRollup[]): number | undefined {
  const requests = countRequests(rows);
  return requests === 0 ? undefined : countRequests(rows, 'in-time') / requests;
}

/** Whether the callers received complete answers, in time or late. */
function isAnswered(row: types.IRollup): boolean {
  return row.outcome === 'in-time' || row.outcome === 'late';
}

function mergeLatency(rows: readonly types.IRollup[]): readonly number[] {
  const answered = rows.filter(isAnswered);
  return Array.from({ length: latencyBuckets.LATENCY_BUCKET_COUNT }, (empty, at) =>
    sumOf(answered, (row) => row.latency[at] ?? 0),
  );
}

function summariseKind(
  kind: string,
  rows: readonly types.IRollup[],
  target: types.IKindTarget | undefined,
): types.IKindSummary {
  const requests = countRequests(rows);
  const [inTime, late, unknown] = ['in-time', 'late', 'unknown'].map((outcome) =>
    countRequests(rows, outcome),
  ) as [number, number, number];
  const cost = sumOf(rows, (row) => sumOf(row.costs, (item) => item.cost));
  const latency = mergeLatency(rows);
  return {
    kind,
    requests,
    inTime,
    late,
    unknown,
    refused: requests - inTime - late - unknown,
    attainment: computeAttainment(rows),
    attainmentTarget: target?.attainmentTarget,
    costPerRequest: requests === 0 ? undefined : cost / requests,
    costTarget: target?.costTarget,
    p50: latencyBuckets.quantile(latency, MEDIAN_QUANTILE),
    p95: latencyBuckets.quantile(latency, TAIL_QUANTILE),
  };
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  items.forEach((item) => {
    const group = groups.get(keyOf(item)) ?? [];
    group.push(item);
    groups.set(keyOf(item), group);
  });
  return groups;
}

/** Lists the declared kinds in the order of the declaration, followed by other kinds that have rows. */
function kindNames(
  rows: readonly types.IRollup[],
  targets: readonly types.IKindTarget[],
): readonly string[] {
  return [...new Set([...targets.map(({ name }) => name), ...rows.map(({ kind }) => kind)])];
}

function rowsWithin(
  rows: readonly types.IRollup[],
  step: spans.StepBounds,
): readonly types.IRollup[] {
  return rows.filter((row) => row.period >= step.from && row.period < step.to);
}

function makeStep(
  step: spans.StepBounds,
  accounting: types.IAccounting,
  rows: readonly types.IRollup[],
  madeAt: commonTypes.Millis,
): types.IStep {
  const gaps = accounting.missing.filter((gap) => gap.to >= step.from && gap.from < step.to);
  return {
    ...step,
    requests: countRequests(rowsWithin(rows, step)),
    recorded: countRequests(rowsWithin(accounting.rows, step)) > 0,
    gaps: [...new Set(gaps.map((gap) => gap.name))],
    future: step.from > madeAt,
  };
}

function summariseStages(rows: readonly types.IRollup[]): readonly types.IStageSummary[] {
  const groups = groupBy(
    rows.flatMap((row) => row.costs),
    (item) => item.stage,
  );
  return [...groups]
    .map(([stage, items]) => ({
      stage,
      cost: sumOf(items, (item) => item.cost),
      attempts: sumOf(items, (item) => item.attempts),
    }))
    .sort((a, b) => b.cost - a.cost);
}

function summariseRefusals(rows: readonly types.IRollup[]): readonly types.IRefusalSummary[] {
  const failed = rows.filter((row) => row.count > 0 && !isAnswered(row));
  const groups = groupBy(failed, (row) => JSON.stringify([row.outcome, row.kind]));
  return [...groups.values()]
    .map((group) => ({
      code: group[0]?.outcome ?? '',
      kind: group[0]?.kind ?? '',
      count: countRequests(group),
    }))
    .sort((a, b) => b.count - a.count);
}

/**
 * Builds the report on a span, for one workspace or all. Requests that were refused, failed or have an unknown
 * outcome count against attainment.
 *
 * @example
 * const report = makeReport(accounting, { span, targets, madeAt: clock.now() });
 */
export function makeReport(accounting: types.IAccounting, request: IReportRequest): types.IReport {
  const { span, workspace, targets, madeAt } = request;
  const rows = accounting.rows
    .filter((row) => row.period >= span.from && row.period < span.to)
    .filter((row) => workspace === undefined || row.workspace === workspace);
  const kinds = kindNames(rows, targets);
  const rowsByKind = groupBy(rows, (row) => row.kind);
  const rowsOf = (kind: string): readonly types.IRollup[] => rowsByKind.get(kind) ?? [];
  const steps = spans.stepsOf(
    span,
    rows.reduce((longest, row) => Math.max(longest, row.span), 0),
  );
  return {
    span,
    workspace,
    madeAt,
    kinds: kinds.map((kind) =>
      summariseKind(
        kind,
        rowsOf(kind),
        targets.find(({ name }) => name === kind),
      ),
    ),
    steps: steps.map((step) => makeStep(step, accounting, rows, madeAt)),
    attainment: kinds.flatMap((kind) =>
      steps.map(({ from, ...step }) => {
        const inStep = rowsWithin(rowsOf(kind), { from, ...step });
        return {
          kind,
          from,
          requests: countRequests(inStep),
          attainment: computeAttainment(inStep),
        };
      }),
    ),
    stages: summariseStages(rows),
    refusals: summariseRefusals(rows),
    latency: kinds.flatMap((kind) =>
      mergeLatency(rowsOf(kind)).map((count, bucket) => ({ kind, bucket, count })),
    ),
    missing: accounting.missing.filter((gap) => gap.to >= span.from && gap.from < span.to),
  };
}
