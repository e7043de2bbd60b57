/** Renders a report as a self-contained HTML page with a print style. */
import * as plots from './Plots.js';
import * as textReport from './TextReport.js';
import type * as types from './Types.js';

const STYLE = `
body { font: 14px/1.4 sans-serif; color: #1a1a1a; background: #fff; max-width: 62rem; margin: 1.5rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: 0; }
h2 { font-size: 1.1rem; margin: 1.6rem 0 0.3rem; }
table { border-collapse: collapse; font-size: 12px; }
th, td { border: 1px solid #bbb; padding: 0.2rem 0.45rem; text-align: right; }
th { background: #f2f2f2; }
th:first-child, td:first-child, th:last-child, td:last-child { text-align: left; }
.missed { font-weight: bold; }
svg { max-width: 100%; height: auto; }
figure { margin: 0; }
figcaption, .note { color: #444; font-size: 12px; margin: 0.2rem 0 0.6rem; }
@page { size: A4 landscape; margin: 14mm; }
@media print { body { margin: 0; max-width: none; } section { break-inside: avoid-page; } th { background: none; } }
`;

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function renderCells(tag: 'td' | 'th', values: readonly string[]): string {
  return values.map((value) => `<${tag}>${escapeHtml(value)}</${tag}>`).join('');
}

function renderKindRow(kind: types.IKindSummary): string {
  const missed = textReport.verdict(kind).startsWith('missed');
  return `<tr${missed ? ' class="missed"' : ''}>${renderCells('td', textReport.kindCells(kind))}</tr>`;
}

function renderKindTable(report: types.IReport): string {
  const head = `<thead><tr>${renderCells('th', textReport.KIND_HEAD)}</tr></thead>`;
  return `<table>${head}<tbody>${report.kinds.map(renderKindRow).join('\n')}</tbody></table>`;
}

function renderPlotSection(plot: plots.IPlot): string {
  const body = plot.svg ?? '<p>Nothing recorded.</p>';
  const caption = `<figcaption>${escapeHtml(plot.caption)}</figcaption>`;
  return `<section><h2>${escapeHtml(plot.title)}</h2><figure>${caption}${body}</figure></section>`;
}

/** Lists the periods without any record and the gaps of individual entry VMs. */
function renderMissingSection(report: types.IReport): string {
  const items = textReport.missingLines(report).map((line) => `<li>${escapeHtml(line)}</li>`);
  return `<section><h2>Missing from the record</h2><ul>${items.join('\n')}</ul></section>`;
}

/**
 * Renders the report as an HTML page with inline styles and SVG plots.
 *
 * @example
 * fs.writeFileSync('report.html', await renderHtml(report));
 */
export async function renderHtml(report: types.IReport): Promise<string> {
  const title = escapeHtml(`Report on ${textReport.titleOf(report)}`);
  const madeAt = new Date(report.madeAt).toISOString();
  const sections = (await plots.plotReport(report)).map(renderPlotSection);
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${title}</title>
<style>${STYLE}</style>
</head>
<body>
<h1>${title}</h1>
<p class="note">${escapeHtml(textReport.daysOf(report.span))}; made ${madeAt}.</p>
<section><h2>By kind of request</h2>
${renderKindTable(report)}</section>
${sections.join('\n')}
${renderMissingSection(report)}
</body>
</html>
`;
}
