/** Renders a report as text tables and as CSV. */
import * as cliTable from 'cli-table3';
import * as spans from './Spans.js';
import type * as types from './Types.js';

const Table = cliTable.default;
const PERCENT = 100;
const MISSING = 'missing';
const NONE = '-';

/** Formats a ratio as a percentage; `-` when undefined. */
export function percent(ratio: number | undefined, digits = 3): string {
  return ratio === undefined ? NONE : `${(ratio * PERCENT).toFixed(digits)}%`;
}

function formatNumber(value: number | undefined, digits = 4): string {
  return value === undefined ? NONE : String(Number(value.toPrecision(digits)));
}

function formatMillis(value: number | undefined): string {
  if (value === undefined) {
    return NONE;
  }
  return Number.isFinite(value) ? `${value} ms` : 'beyond scale';
}

/** Says in words which targets were missed, because a print may have no colour. */
export function verdict(kind: types.IKindSummary): string {
  if (kind.attainment === undefined) {
    return 'no requests';
  }
  if (kind.attainmentTarget === undefined) {
    return 'no target';
  }
  const misses = [
    ...(kind.attainment < kind.attainmentTarget ? ['attainment'] : []),
    ...((kind.costPerRequest ?? 0) > (kind.costTarget ?? Infinity) ? ['cost'] : []),
  ];
  return misses.length === 0 ? 'met' : `missed: ${misses.join(', ')}`;
}

/** Title of a report: its span and workspace. */
export function titleOf(report: types.IReport): string {
  return `${report.span.label}, ${report.workspace ?? 'all workspaces'}`;
}

function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const result = new Table({ head: [...head], style: { head: [], border: [] } });
  rows.forEach((row) => result.push([...row]));
  return result.toString();
}

/** Column headings of the table by kind of request. */
export const KIND_HEAD = [
  'kind',
  'requests',
  'in time',
  'late',
  'unknown',
  'refused or failed',
  'attainment',
  'target',
  'cost/request',
  'target',
  'p50 up to',
  'p95 up to',
  'verdict',
] as const;

/** Formats the cells of one kind of request, in the order of KIND_HEAD. */
export function kindCells(kind: types.IKindSummary): readonly string[] {
  return [
    kind.kind,
    String(kind.requests),
    String(kind.inTime),
    String(kind.late),
    String(kind.unknown),
    String(kind.refused),
    percent(kind.attainment),
    percent(kind.attainmentTarget),
    formatNumber(kind.costPerRequest),
    formatNumber(kind.costTarget),
    formatMillis(kind.p50),
    formatMillis(kind.p95),
    verdict(kind),
  ];
}

/** Whether a step that has begun has no rows of any workspace. */
export function isMissing(step: types.IStep): boolean {
  return !step.future && !step.recorded;
}

/** Describes the record of one step: whether it has requests, rows and gaps. */
export function describeStep(step: types.IStep): string {
  if (step.future) {
    return 'not yet';
  }
  const gaps = step.gaps.length === 0 ? '' : `; gaps of ${step.gaps.join(', ')}`;
  if (isMissing(step)) {
    return `${MISSING}: nothing recorded${gaps}`;
  }
  return step.requests === 0 ? `recorded, no requests${gaps}` : `recorded${gaps}`;
}

/** Merges consecutive steps that have no requests and the same description. */
function mergeEmptySteps(steps: readonly types.IStep[]): readonly types.IStep[] {
  const merged: types.IStep[] = [];
  steps.forEach((step) => {
    const last = merged.at(-1);
    const isSame = last !== undefined && describeStep(last) === describeStep(step);
    if (isSame && last.requests === 0 && step.requests === 0) {
      merged[merged.length - 1] = { ...last, to: step.to };
    } else {
      merged.push(step);
    }
  });
  return merged;
}

function formatMinute(time: number): string {
  return new Date(time).toISOString().slice(0, 16).replace('T', ' ');
}

function renderStepTable(report: types.IReport): string {
  const kinds = report.kinds.filter(({ requests }) => requests > 0).map(({ kind }) => kind);
  const rows = mergeEmptySteps(report.steps).map((step) => [
    formatMinute(step.from),
    formatMinute(step.to),
    ...kinds.map((kind) => {
      const point = report.attainment.find((item) => item.kind === kind && item.from === step.from);
      return percent(point?.attainment);
    }),
    describeStep(step),
  ]);
  return renderTable(['from (UTC)', 'to', ...kinds, 'record'], rows);
}

/** Formats each period without any record as one line. */
function emptyStepLines(report: types.IReport): readonly string[] {
  return mergeEmptySteps(report.steps)
    .filter(isMissing)
    .map(({ from, to }) => `from ${formatMinute(from)} to ${formatMinute(to)}: nothing recorded`);
}

/** Formats each gap in the record of an entry VM as one line. */
function gapLines(report: types.IReport): readonly string[] {
  return report.missing.map(({ name, from, to }) => {
    const [start, end] = [from, to].map((time) => new Date(time).toISOString());
    return `${name}: requests that ended from ${start} to ${end} are missing`;
  });
}

/** Formats all known gaps in the record as lines; a single line says so when there are none. */
export function missingLines(report: types.IReport): readonly string[] {
  const lines = [...emptyStepLines(report), ...gapLines(report)];
  return lines.length === 0 ? ['nothing that is known of'] : lines;
}

/**
 * Renders the report as text tables.
 *
 * @example
 * process.stdout.write(renderText(report));
 */
export function renderText(report: types.IReport): string {
  const parts = [
    `Report on ${titleOf(report)} (made ${new Date(report.madeAt).toISOString()})`,
    'By kind of request',
    renderTable(KIND_HEAD, report.kinds.map(kindCells)),
    'Attainment over time',
    renderStepTable(report),
    'Cost by stage',
    renderTable(
      ['stage', 'cost', 'attempts'],
      report.stages.map((item) => [item.stage, formatNumber(item.cost), String(item.attempts)]),
    ),
    'Refused, failed or unknown, by reason',
    renderTable(
      ['reason', 'kind', 'requests'],
      report.refusals.map((item) => [item.code, item.kind, String(item.count)]),
    ),
    'Missing from the record',
    ...missingLines(report),
  ];
  return `${parts.join('\n')}\n`;
}

function csvField(value: string | number | undefined): string {
  const text = value === undefined ? '' : String(value);
  return /[",\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}

/**
 * Renders the report as CSV, one line for each kind and step; a field without a value is empty.
 *
 * @example
 * fs.writeFileSync('report.csv', renderCsv(report));
 */
export function renderCsv(report: types.IReport): string {
  const head = ['from', 'kind', 'requests', 'attainment', 'attainment_target', 'record'];
  const rows = report.attainment.map((point) => {
    const step = report.steps.find(({ from }) => from === point.from);
    const target = report.kinds.find(({ kind }) => kind === point.kind)?.attainmentTarget;
    const from = new Date(point.from).toISOString();
    const record = step === undefined ? '' : describeStep(step);
    return [from, point.kind, point.requests, point.attainment, target, record];
  });
  return `${[head, ...rows].map((row) => row.map(csvField).join(',')).join('\n')}\n`;
}

/** Formats the first and last day of a span. */
export function daysOf(span: types.ISpan): string {
  return `${spans.formatDay(span.from)} to ${spans.formatDay(span.to - 1)} (UTC)`;
}
