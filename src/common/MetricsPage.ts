/** docs/METRICS.md, made from the tables in code so that page and code cannot drift. */
import * as refusals from './Refusals.js';

/** Prefix that every name has on the wire. */
const PREFIX = 'anvildeck.';

/** Counters and gauges of the decisions, beside refusals and retries: name, tags, meaning. */
export const DECISION_METRICS = {
  admission_refused: 'counter {pool, reason}: a stage found no place and was not waited for',
  late_answer:
    'counter {stage}: an answer came after another had won or the request had ended; dropped',
  endpoint_ejected: 'counter {pool}: an endpoint failed alone and gets nothing for a while',
  endpoint_crashed: 'counter: an endpoint crashed with requests in flight',
  request_quarantined: 'counter: a fingerprint was in flight at a second crash',
  membership_list_distrusted: 'counter {reason}: the platform list was older, empty or too thin',
  peer_exchange_failed: 'counter: another entry VM did not answer an exchange',
  pool_running: 'gauge {pool}: stages that hold a place',
  pool_waiting: 'gauge {pool}: stages that wait for a place',
  pool_places: 'gauge {pool}: places learnt',
  endpoints_watched: 'gauge {pool}: endpoints that this entry VM watches',
  endpoints_ejected: 'gauge {pool}: endpoints that are out for now',
  endpoints_straggling: 'gauge {pool}: endpoints much slower than their peers',
} as const;

function refusalLine([code, refusal]: readonly [string, refusals.IRefusal]): string {
  return `- \`${code}\` (HTTP ${refusal.status}, \`${refusal.type}\`): ${refusal.when}`;
}

function plainLine([name, meaning]: readonly [string, string]): string {
  return `- \`${name}\`: ${meaning}`;
}

function metricLine([name, meaning]: readonly [string, string]): string {
  return `- \`${PREFIX}${name}\` ${meaning}`;
}

/**
 * The text of docs/METRICS.md.
 *
 * @example
 * fs.writeFileSync('docs/METRICS.md', renderMetricsPage());
 */
export function renderMetricsPage(): string {
  return [
    '# Metrics',
    '',
    'Made by `npm run metrics` from `src/common/Refusals.ts` and `src/common/MetricsPage.ts`; do not edit.',
    '',
    '## Refusals and failures',
    '',
    `\`${PREFIX}refused{reason}\` counts every request that got no whole answer, by the \`error.code\` of its caller:`,
    '',
    ...Object.entries(refusals.REFUSALS).map(refusalLine),
    '',
    '## Retries',
    '',
    `\`${PREFIX}retry{reason}\` counts every attempt that was sent again or beside another:`,
    '',
    ...Object.entries(refusals.RETRY_REASONS).map(plainLine),
    '',
    '## Decisions',
    '',
    ...Object.entries(DECISION_METRICS).map(metricLine),
    '',
  ].join('\n');
}
