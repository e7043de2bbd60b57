/** What the demo prints of its requests and of the operator's report. */
import * as cliTable from 'cli-table3';
import type * as types from './Types.js';

const STYLE = { style: { head: [], border: [] } };
const PERCENT = 100;
const COST_DIGITS = 4;

/** What each request got. */
export function requestTable(results: readonly types.IDemoResult[]): string {
  const Table = cliTable.default;
  const head = ['request', 'status', 'run', 'ms', 'deadline ms', 'answer'];
  const table = new Table({ head, ...STYLE });
  results.forEach((result) => {
    const { request, status, millis, deadlineMs, excerpt } = result;
    table.push([request.title, status, result.run, Math.round(millis), deadlineMs, excerpt]);
  });
  return table.toString();
}

/** Attainment by kind of request. */
export function attainmentTable(report: types.IDemoReport): string {
  const Table = cliTable.default;
  const head = ['kind', 'requests', 'in time', 'attainment', 'target'];
  const table = new Table({ head, ...STYLE });
  report.kinds
    .filter((kind) => kind.requests > 0)
    .forEach((kind) => {
      const attainment = percent(kind.inTime / kind.requests);
      const target = percent(kind.attainmentTarget);
      table.push([kind.kind, kind.requests, kind.inTime, attainment, target]);
    });
  return table.toString();
}

/** Cost by stage, in units of one replica second. */
export function costTable(report: types.IDemoReport): string {
  const Table = cliTable.default;
  const table = new Table({ head: ['stage', 'attempts', 'cost'], ...STYLE });
  report.stages.forEach((stage) => {
    table.push([stage.stage, stage.attempts, stage.cost.toFixed(COST_DIGITS)]);
  });
  return table.toString();
}

function percent(share: number): string {
  return `${(share * PERCENT).toFixed(1)}%`;
}
