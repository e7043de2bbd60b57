/** Keys and sums of accounting rows. */
import * as latencyBuckets from '../../common/LatencyBuckets.js';
import type * as types from './Types.js';

const DAY_MS = 24 * 60 * 60 * 1000;

/** Key of a row: its period, span, workspace, target, kind and outcome. */
export function keyOf(row: types.AccountingRow): string {
  const { period, span, workspace, target, kind, outcome } = row;
  return JSON.stringify([period, span, workspace, target, kind, outcome]);
}

/** Adds a row to the existing row with the same key, or inserts it. */
export function addTo(rows: Map<string, types.AccountingRow>, row: types.AccountingRow): void {
  const key = keyOf(row);
  const known = rows.get(key);
  rows.set(key, known === undefined ? row : sumOf(known, row));
}

/** Merges rows whose period began before `cutoff` (ms since the epoch) into UTC days. */
export function mergeOld(rows: Map<string, types.AccountingRow>, cutoff: number): void {
  [...rows].forEach(([key, row]) => {
    if (row.span < DAY_MS && row.period < cutoff) {
      rows.delete(key);
      addTo(rows, { ...row, span: DAY_MS, period: Math.floor(row.period / DAY_MS) * DAY_MS });
    }
  });
}

/** Sum of two rows with the same key: counts, latency histograms and costs per stage. */
export function sumOf(a: types.AccountingRow, b: types.AccountingRow): types.AccountingRow {
  const latency = Array.from(
    { length: latencyBuckets.LATENCY_BUCKETS },
    (_, at) => (a.latency[at] ?? 0) + (b.latency[at] ?? 0),
  );
  return { ...a, count: a.count + b.count, latency, costs: sumCosts(a.costs, b.costs) };
}

function sumCosts(
  a: types.AccountingRow['costs'],
  b: types.AccountingRow['costs'],
): types.AccountingRow['costs'] {
  const stages = [...new Set([...a, ...b].map((item) => item.stage))];
  return stages.map((stage) => {
    const items = [...a, ...b].filter((item) => item.stage === stage);
    const cost = items.reduce((sum, item) => sum + item.cost, 0);
    const attempts = items.reduce((sum, item) => sum + item.attempts, 0);
    return { stage, cost, attempts };
  });
}
