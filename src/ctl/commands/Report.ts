/** `anvildeckctl report`: reports outcomes and costs of a quarter, month or day. */
import * as fs from 'node:fs';
import type * as commander from 'commander';
import type * as commonTypes from '../../common/Types.js';
import * as declarations from '../../config/Declaration.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as rejected from '../../control/client/RejectedError.js';
import * as report from '../../report/Report.js';
import * as spans from '../../report/Spans.js';
import * as textReport from '../../report/TextReport.js';
import type * as reportTypes from '../../report/Types.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as usage from '../UsageError.js';
import * as versions from '../Versions.js';

const FORMATS = ['text', 'csv', 'html', 'json'] as const;

type Format = (typeof FORMATS)[number];

interface IReportOptions {
  readonly workspace?: string;
  readonly format: string;
  readonly out?: string;
  readonly period?: string;
}

/** Fetches the targets of the declaration in force; empty before the first version. */
async function fetchTargets(
  client: controlClient.ControlClient,
): Promise<readonly reportTypes.IKindTarget[]> {
  try {
    const { text, version } = await versions.fetchVersion(client, 0);
    return declarations.parseDeclaration(`version ${version}`, text).kinds;
  } catch (err) {
    if (err instanceof rejected.RejectedError) {
      return [];
    }
    throw err;
  }
}

async function fetchAccounting(
  client: controlClient.ControlClient,
  span: reportTypes.ISpan,
): Promise<reportTypes.IAccounting> {
  const query = { accounting: { from: span.from, to: span.to } };
  const { accounting } = await client.query(query);
  return { rows: accounting?.rows ?? [], missing: accounting?.missing ?? [] };
}

/**
 * Fetches the accounting of a span and builds a report on one workspace, or on all when it is undefined.
 *
 * @throws ControlUnavailableError, RejectedError.
 * @example
 * const fetchedReport = await fetchReport(client, span, undefined, clock.now());
 */
export async function fetchReport(
  client: controlClient.ControlClient,
  span: reportTypes.ISpan,
  workspace: string | undefined,
  madeAt: commonTypes.Millis,
): Promise<reportTypes.IReport> {
  const targets = await fetchTargets(client);
  const accounting = await fetchAccounting(client, span);
  const scope = workspace === undefined ? {} : { workspace };
  return report.makeReport(accounting, { span, targets, madeAt, ...scope });
}

/** Imports the plotting library on demand: loading it takes longer than most commands run. */
async function renderPage(fetchedReport: reportTypes.IReport): Promise<string> {
  const htmlReport = await import('../../report/HtmlReport.js');
  return htmlReport.renderHtml(fetchedReport);
}

async function render(fetchedReport: reportTypes.IReport, format: Format): Promise<string> {
  switch (format) {
    case 'csv':
      return textReport.renderCsv(fetchedReport);
    case 'html':
      return renderPage(fetchedReport);
    case 'json':
      return `${JSON.stringify(fetchedReport)}\n`;
    default:
      return textReport.renderText(fetchedReport);
  }
}

function parseFormat(text: string): Format {
  const format = FORMATS.find((item) => item === text);
  if (format === undefined) {
    throw new usage.UsageError(`--format must be one of ${FORMATS.join(', ')}`);
  }
  return format;
}

function resolveSpan(
  text: string | undefined,
  period: string | undefined,
  now: commonTypes.Millis,
): reportTypes.ISpan {
  if (text !== undefined && period !== undefined) {
    throw new usage.UsageError('give either a span or --period, not both');
  }
  const span = text === undefined ? spans.currentSpan(period ?? 'day', now) : spans.parseSpan(text);
  if (span === undefined) {
    throw new usage.UsageError(
      'the span must be a quarter (2026-Q4), a month (2026-12) or a day (2026-12-03); --period must be quarter, month or day',
    );
  }
  return span;
}

async function writeReport(
  text: string | undefined,
  options: IReportOptions,
  ctx: types.ICommandContext,
): Promise<void> {
  const now = ctx.clock.now();
  const span = resolveSpan(text, options.period, now);
  const format = parseFormat(options.format);
  const fetchedReport = await session.withControl(ctx, (client) =>
    fetchReport(client, span, options.workspace, now),
  );
  const rendered = await render(fetchedReport, format);
  if (options.out === undefined) {
    ctx.write(rendered);
    return;
  }
  fs.writeFileSync(options.out, rendered);
  ctx.write(`wrote ${options.out}\n`);
}

/** Adds the command to the program. */
export function addReport(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('report')
    .description('attainment and cost of a quarter, month or day of UTC; today when left out')
    .argument('[span]', '2026-Q4, 2026-12 or 2026-12-03')
    .option('--period <period>', 'the current quarter, month or day')
    .option('--workspace <name>', 'of one workspace; of all together when left out')
    .option('--format <format>', FORMATS.join(', '), 'text')
    .option('--out <file>', 'write to a file')
    .action((text: string | undefined, options: IReportOptions) => writeReport(text, options, ctx));
}
