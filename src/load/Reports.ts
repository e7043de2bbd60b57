/** Results of the load generator as a table and as plots. */
import * as cliTable from 'cli-table3';
import * as vega from 'vega';
import * as vegaLite from 'vega-lite';
import type * as types from './Types.js';

const { default: Table } = cliTable;
const PANEL_WIDTH_PX = 420;
const BAR_STEP_PX = 16;

const HEAD = [
  'variant',
  'kind',
  'sent',
  'in time',
  'late',
  'attainment',
  'p50 ms',
  'p95 ms',
  'p99 ms',
  'not answered',
];

function formatShare(share: number): string {
  return `${(100 * share).toFixed(2)}%`;
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([code, count]) => `${code} ${count}`)
    .join(', ');
}

/** One row for each kind of each variant. */
export function formatTable(results: readonly types.IVariantResult[]): string {
  const table = new Table({ head: HEAD, style: { head: [], border: [], compact: true } });
  results.forEach((result) =>
    result.kinds.forEach((kind) => {
      const spans = [kind.p50, kind.p95, kind.p99].map((value) => value ?? '-');
      const shown = [kind.sent, kind.inTime, kind.late, formatShare(kind.attainment)];
      table.push([result.variant, kind.kind, ...shown, ...spans, formatCounts(kind.refused)]);
    }),
  );
  const unsent = results
    .filter((result) => result.unsent > 0)
    .map((result) => `${result.variant}: ${result.unsent} not sent, too many in flight`);
  return [table.toString(), ...unsent].join('\n');
}

function rowsOf(results: readonly types.IVariantResult[]) {
  return results.flatMap((result) =>
    result.kinds.map((kind) => ({
      variant: result.variant,
      kind: kind.kind,
      attainment: kind.attainment,
      p95: kind.p95 ?? null,
    })),
  );
}

function bars(field: 'attainment' | 'p95', title: string) {
  const scale = field === 'attainment' ? { domain: [0, 1] } : { type: 'symlog' as const };
  const axis = field === 'attainment' ? { format: '.0%' } : {};
  return {
    width: PANEL_WIDTH_PX,
    height: { step: BAR_STEP_PX },
    mark: { type: 'bar' as const, tooltip: true },
    encoding: {
      y: { field: 'kind', type: 'nominal' as const, title: null },
      yOffset: { field: 'variant' },
      x: { field, type: 'quantitative' as const, title, scale, axis },
      color: { field: 'variant', type: 'nominal' as const, title: 'variant' },
    },
  };
}

/**
 * Attainment and the 95th percentile of latency by kind, the variants side by side, as SVG.
 *
 * @example
 * fs.writeFileSync('comparison.svg', await plotComparison(results));
 */
export async function plotComparison(results: readonly types.IVariantResult[]): Promise<string> {
  const spec: vegaLite.TopLevelSpec = {
    background: 'white',
    data: { values: rowsOf(results) },
    vconcat: [
      bars('attainment', 'answered whole within the deadline'),
      bars('p95', '95th percentile of latency, ms (log scale)'),
    ],
  };
  const view = new vega.View(vega.parse(vegaLite.compile(spec).spec), { renderer: 'none' });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}
