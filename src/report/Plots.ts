/** Renders the plots of a report as SVG. */
import * as vega from 'vega';
import * as vegaLite from 'vega-lite';
import * as latencyBuckets from '../common/LatencyBuckets.js';
import * as textReport from './TextReport.js';
import type * as types from './Types.js';

const WIDTH_PX = 620;
const PANEL_HEIGHT_PX = 70;
const BAR_STEP_PX = 20;
const LABEL_LIMIT_PX = 320;
/** Possible lower ends of the attainment scale; a start near the lowest point makes small misses visible. */
const SCALE_STARTS = [0.99, 0.95, 0.9, 0.8, 0.5, 0] as const;
const SERIES_COLOUR = '#1f5a94';
const TARGET_COLOUR = '#b3261e';
const GAP_COLOUR = '#d9d9d9';

/** Legible in print: dark text on white, and no information is carried by colour alone. */
const CONFIG: vegaLite.Config = {
  background: 'white',
  font: 'sans-serif',
  axis: { labelFontSize: 11, titleFontSize: 11, gridColor: '#eeeeee' },
  header: { labelFontSize: 12, labelFontWeight: 'bold' },
  view: { stroke: '#bbbbbb' },
};

type PlotSpec = vegaLite.TopLevelSpec;

async function renderSvg(spec: PlotSpec): Promise<string> {
  const compiled = vegaLite.compile({ ...spec, config: CONFIG });
  const view = new vega.View(vega.parse(compiled.spec), { renderer: 'none' });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}

function activeKinds(report: types.IReport): readonly types.IKindSummary[] {
  return report.kinds.filter(({ requests }) => requests > 0);
}

/** Facet with one panel for each kind that has requests, in the order of the declaration. */
function kindFacet(report: types.IReport) {
  return {
    row: {
      field: 'kind',
      type: 'nominal',
      sort: activeKinds(report).map(({ kind }) => kind),
      title: null,
      header: { labelAngle: 0, labelOrient: 'top' },
    },
  } as const;
}

/** Lower end of the attainment scale, equal in all panels to make them comparable. */
function scaleStart(report: types.IReport): number {
  const attainments = report.attainment.flatMap(({ attainment }) => attainment ?? []);
  const targets = activeKinds(report).flatMap(({ attainmentTarget }) => attainmentTarget ?? []);
  const lowest = Math.min(...attainments, ...targets);
  return SCALE_STARTS.find((start) => start < lowest) ?? 0;
}

/**
 * Plots attainment by week (or hour) with its target, one panel for each kind; steps without a record are grey.
 *
 * @example
 * const svg = await plotAttainment(report);
 */
export async function plotAttainment(report: types.IReport): Promise<string> {
  const labels = report.steps.map(({ label }) => label);
  const stepByStart = new Map(report.steps.map((step) => [step.from, step]));
  const domain = [scaleStart(report), 1];
  const values = activeKinds(report).flatMap(({ kind, attainmentTarget }) =>
    report.attainment
      .filter((point) => point.kind === kind)
      .map((point) => {
        const step = stepByStart.get(point.from);
        return {
          kind,
          target: attainmentTarget ?? null,
          label: step?.label,
          attainment: point.attainment ?? null,
          missing: step !== undefined && textReport.isMissing(step),
          low: domain[0],
          high: domain[1],
        };
      }),
  );
  const x = {
    field: 'label',
    type: 'ordinal',
    // Labels sort as text; the explicit domain also includes steps without a mark.
    scale: { domain: labels },
    title: 'from (UTC)',
    axis: { labelAngle: -45 },
  } as const;
  const scale = { domain, zero: false, clamp: true };
  const axis = { format: '.1%', tickCount: 3 };
  const y = { field: 'attainment', type: 'quantitative', title: null, scale, axis } as const;
  return renderSvg({
    data: { values },
    facet: kindFacet(report),
    spec: {
      width: WIDTH_PX,
      height: PANEL_HEIGHT_PX,
      layer: [
        {
          transform: [{ filter: 'datum.missing' }],
          mark: { type: 'bar', color: GAP_COLOUR },
          encoding: { x, y: { ...y, field: 'low' }, y2: { field: 'high' } },
        },
        {
          transform: [{ filter: 'datum.missing' }],
          mark: { type: 'text', text: 'missing', angle: 270, fontSize: 9 },
          encoding: { x },
        },
        {
          mark: { type: 'rule', strokeDash: [5, 3], color: TARGET_COLOUR },
          encoding: { y: { ...y, field: 'target', aggregate: 'max' } },
        },
        {
          mark: {
            type: 'line',
            point: { size: 35 },
            color: SERIES_COLOUR,
            invalid: 'break-paths-show-path-domains',
          },
          encoding: { x, y },
        },
      ],
    },
  });
}

/**
 * Plots cost by stage as bars.
 *
 * @example
 * const svg = await plotCosts(report);
 */
export async function plotCosts(report: types.IReport): Promise<string> {
  return renderSvg({
    width: WIDTH_PX,
    height: { step: BAR_STEP_PX },
    data: { values: report.stages.map((item) => ({ ...item })) },
    encoding: {
      y: {
        field: 'stage',
        type: 'nominal',
        sort: report.stages.map(({ stage }) => stage),
        title: null,
      },
      x: { field: 'cost', type: 'quantitative', title: "cost (operator's unit)" },
    },
    layer: [
      { mark: { type: 'bar', color: SERIES_COLOUR } },
      {
        mark: { type: 'text', align: 'left', dx: 4 },
        encoding: { text: { field: 'cost', format: '.3s' } },
      },
    ],
  });
}

/**
 * Plots the refused, failed and unknown requests by reason and kind.
 *
 * @example
 * const svg = await plotRefusals(report);
 */
export async function plotRefusals(report: types.IReport): Promise<string> {
  const values = report.refusals.map(({ code, kind, count }) => ({
    reason: `${code} (${kind})`,
    count,
  }));
  return renderSvg({
    width: WIDTH_PX,
    height: { step: BAR_STEP_PX },
    data: { values },
    encoding: {
      y: {
        field: 'reason',
        type: 'nominal',
        sort: values.map(({ reason }) => reason),
        title: null,
        axis: { labelLimit: LABEL_LIMIT_PX },
      },
      x: { field: 'count', type: 'quantitative', title: 'requests' },
    },
    layer: [
      { mark: { type: 'bar', color: SERIES_COLOUR } },
      { mark: { type: 'text', align: 'left', dx: 4 }, encoding: { text: { field: 'count' } } },
    ],
  });
}

function bucketLabel(bucket: number): string {
  const bound = latencyBuckets.LATENCY_BOUNDS_MS[bucket];
  return bound === undefined ? 'longer' : String(bound);
}

/**
 * Plots the latency histogram of complete answers, one panel for each kind.
 *
 * @example
 * const svg = await plotLatency(report);
 */
export async function plotLatency(report: types.IReport): Promise<string> {
  const kinds = new Set(activeKinds(report).map(({ kind }) => kind));
  const filledBuckets = report.latency.filter(({ count }) => count > 0).map(({ bucket }) => bucket);
  const [first, last] = [Math.min(...filledBuckets), Math.max(...filledBuckets)];
  const values = report.latency
    .filter(({ kind, bucket }) => kinds.has(kind) && bucket >= first && bucket <= last)
    .map(({ kind, bucket, count }) => ({ kind, bucket: bucketLabel(bucket), count }));
  const sort = [...new Set(values.map(({ bucket }) => bucket))];
  return renderSvg({
    data: { values },
    facet: kindFacet(report),
    resolve: { scale: { y: 'independent' } },
    spec: {
      width: WIDTH_PX,
      height: PANEL_HEIGHT_PX,
      mark: { type: 'bar', color: SERIES_COLOUR },
      encoding: {
        x: {
          field: 'bucket',
          type: 'ordinal',
          sort,
          title: 'up to (ms)',
          axis: { labelAngle: -45 },
        },
        y: { field: 'count', type: 'quantitative', title: null, axis: { tickCount: 3 } },
      },
    },
  });
}

/** A plot with its title and caption. */
export interface IPlot {
  readonly title: string;
  readonly caption: string;
  /** SVG element; undefined without data. */
  readonly svg: string | undefined;
}

/**
 * Renders all plots of a report, in the order of the page.
 *
 * @example
 * const plots = await plotReport(report);
 */
export async function plotReport(report: types.IReport): Promise<readonly IPlot[]> {
  const hasRequests = activeKinds(report).length > 0;
  const hasAnswers = report.latency.some(({ count }) => count > 0);
  const scaleStartText = textReport.percent(scaleStart(report), 0);
  return [
    {
      title: 'Attainment',
      caption: `Share answered whole within the deadline; the dashed line is the target. The scale starts at ${scaleStartText}. Grey: nothing recorded.`,
      svg: hasRequests ? await plotAttainment(report) : undefined,
    },
    {
      title: 'Cost by stage',
      caption: "Endpoint seconds times the pool's cost, all attempts together.",
      svg: report.stages.length > 0 ? await plotCosts(report) : undefined,
    },
    {
      title: 'Refusals by reason',
      caption: 'Requests that got no whole answer, by the reason that their caller was told.',
      svg: report.refusals.length > 0 ? await plotRefusals(report) : undefined,
    },
    {
      title: 'Latency',
      caption: 'Whole answers by latency; each panel has its own scale of counts.',
      svg: hasAnswers ? await plotLatency(report) : undefined,
    },
  ];
}
