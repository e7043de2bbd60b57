import * as vitest from 'vitest';
import * as htmlReport from './HtmlReport.js';
import * as report from './Report.js';
import * as spans from './Spans.js';
import * as sample from './testing/SampleAccounting.js';
import * as textReport from './TextReport.js';
import type * as types from './Types.js';

const MADE_AT = Date.UTC(2026, 10, 1);

function parseValidSpan(text: string): types.ISpan {
  const span = spans.parseSpan(text);
  if (span === undefined) {
    throw new Error(`not a span: ${text}`);
  }
  return span;
}

const span = parseValidSpan(sample.SAMPLE_QUARTER);
const accounting = sample.sampleAccounting(1);
const fullReport = report.makeReport(accounting, {
  span,
  targets: sample.SAMPLE_TARGETS,
  madeAt: MADE_AT,
});

vitest.describe('parseSpan', () => {
  vitest.it('parses quarters, months and days of UTC', () => {
    vitest.expect(parseValidSpan('2026-Q4').to).toBe(Date.UTC(2027, 0));
    vitest.expect(parseValidSpan('2028-02').to).toBe(Date.UTC(2028, 2));
    vitest.expect(parseValidSpan('2026-12-03').from).toBe(Date.UTC(2026, 11, 3));
  });

  vitest.it.each(['2026', '2026-Q5', '2026-13', '2026-02-30', 'yesterday'])(
    'rejects %s',
    (text) => {
      vitest.expect(spans.parseSpan(text)).toBeUndefined();
    },
  );

  vitest.it('finds the current quarter, month and day', () => {
    const time = Date.UTC(2026, 11, 31, 23);
    const labels = ['quarter', 'month', 'day', 'year'].map((period) =>
      spans.currentSpan(period, time),
    );
    vitest
      .expect(labels.map((item) => item?.label))
      .toEqual(['2026-Q4', '2026-12', '2026-12-31', undefined]);
  });

  vitest.it('divides a quarter into weeks from Monday that cover it without overlap', () => {
    const steps = spans.stepsOf(span, spans.HOUR_MS);
    vitest.expect(steps[0]?.from).toBe(span.from);
    vitest.expect(steps.at(-1)?.to).toBe(span.to);
    steps.slice(1).forEach((step, at) => {
      vitest.expect(step.from).toBe(steps[at]?.to);
      vitest.expect(new Date(step.from).getUTCDay()).toBe(1);
    });
    vitest.expect(spans.stepsOf(parseValidSpan('2026-12-03'), spans.HOUR_MS)).toHaveLength(24);
    vitest.expect(spans.stepsOf(parseValidSpan('2026-12-03'), spans.DAY_MS)).toHaveLength(1);
  });
});

vitest.describe('makeReport', () => {
  vitest.it('counts each request once: outcomes, steps, buckets and workspaces add up', () => {
    const total = accounting.rows.reduce((sum, row) => sum + row.count, 0);
    const sums = fullReport.kinds.map(
      (kind) => kind.inTime + kind.late + kind.unknown + kind.refused,
    );
    vitest.expect(fullReport.kinds.map(({ requests }) => requests)).toEqual(sums);
    vitest.expect(sums.reduce((a, b) => a + b)).toBe(total);
    vitest.expect(fullReport.steps.reduce((sum, step) => sum + step.requests, 0)).toBe(total);
    const parts = ['acme', 'zenith'].map((workspace) =>
      report.makeReport(accounting, { span, workspace, targets: [], madeAt: MADE_AT }),
    );
    const partsTotal = parts.flatMap(({ kinds }) => kinds).reduce((sum, k) => sum + k.requests, 0);
    vitest.expect(partsTotal).toBe(total);
    const answered = fullReport.kinds.reduce((sum, kind) => sum + kind.inTime + kind.late, 0);
    vitest.expect(fullReport.latency.reduce((sum, { count }) => sum + count, 0)).toBe(answered);
  });

  vitest.it('marks a week without rows as missing, not as met or missed', () => {
    const at = Date.parse(`${sample.EMPTY_WEEK}T00:00:00Z`);
    const points = fullReport.attainment.filter(({ from }) => from === at);
    vitest
      .expect(points.map(({ attainment }) => attainment))
      .toEqual([undefined, undefined, undefined]);
    const step = fullReport.steps.find(({ from }) => from === at);
    vitest.expect(step && textReport.describeStep(step)).toContain('missing');
    const lines = textReport.renderText(fullReport);
    vitest.expect(lines).toContain('entry-3: requests that ended from 2026-07-02T00:00:00.000Z');
  });

  vitest.it('distinguishes an idle workspace or kind from a missing record', () => {
    const idleReport = report.makeReport(accounting, {
      span,
      workspace: 'nobody',
      targets: sample.SAMPLE_TARGETS,
      madeAt: MADE_AT,
    });
    const descriptions = idleReport.steps.map(textReport.describeStep);
    vitest.expect(descriptions.filter((text) => text.startsWith('missing'))).toHaveLength(1);
    vitest
      .expect(descriptions.filter((text) => text.startsWith('recorded, no requests')))
      .toHaveLength(13);
  });

  vitest.it('does not mark a week that has not begun as missing', () => {
    const earlyReport = report.makeReport(
      { rows: [], missing: [] },
      { span, targets: [], madeAt: span.from },
    );
    vitest
      .expect(earlyReport.steps.filter(({ future }) => future))
      .toHaveLength(earlyReport.steps.length - 1);
    vitest.expect(textReport.describeStep(earlyReport.steps.at(-1)!)).toBe('not yet');
  });

  vitest.it('counts refusals against attainment and compares both targets', () => {
    const [lookup] = fullReport.kinds;
    vitest.expect(lookup?.attainment).toBe((lookup?.inTime ?? 0) / (lookup?.requests ?? 1));
    vitest.expect(lookup && textReport.verdict(lookup)).toBe('missed: attainment');
    const expensiveKinds = fullReport.kinds.map((kind) => ({
      ...kind,
      attainment: 1,
      costPerRequest: 99,
    }));
    vitest
      .expect(expensiveKinds.map(textReport.verdict))
      .toEqual(expensiveKinds.map(() => 'missed: cost'));
  });
});

vitest.describe('rendering', () => {
  vitest.it(
    'writes CSV with a line for each kind and step, with empty fields where nothing was recorded',
    () => {
      const lines = textReport.renderCsv(fullReport).trimEnd().split('\n');
      vitest.expect(lines).toHaveLength(1 + fullReport.kinds.length * fullReport.steps.length);
      vitest
        .expect(lines.find((line) => line.startsWith(sample.EMPTY_WEEK)))
        .toMatch(/,balance-lookup,0,,0\.999,missing/);
    },
  );

  vitest.it('renders a page with four plots that loads no other resource', async () => {
    const page = await htmlReport.renderHtml(fullReport);
    vitest.expect(page.match(/<svg/g)).toHaveLength(4);
    // XML namespaces are not fetched by a browser.
    const links = page.match(/(src|href)="[^"]*"|url\([^)]*\)|<script|@import/g) ?? [];
    vitest.expect(links.filter((link) => !/url\(#/.test(link))).toEqual([]);
    vitest
      .expect(page)
      .toContain(`from ${sample.EMPTY_WEEK} 00:00 to 2026-08-17 00:00: nothing recorded`);
  });

  vitest.it('renders a page for an empty record', async () => {
    const empty = report.makeReport(
      { rows: [], missing: [] },
      { span, workspace: '<b>', targets: sample.SAMPLE_TARGETS, madeAt: MADE_AT },
    );
    const page = await htmlReport.renderHtml(empty);
    vitest.expect(page).not.toContain('<svg');
    vitest.expect(page).not.toContain('<b>');
    vitest.expect(page).toContain('no requests');
  });
});
