/** Compares rules for the size of a pool; prints the tables of docs/design/staffing.md. Fixed seeds. */
import * as cliTable from 'cli-table3';
import * as seededRandom from '../../src/common/SeededRandom.js';
import * as erlangC from '../../src/staffing/ErlangC.js';
import * as queueStandin from './QueueStandin.js';
import * as squareRoot from './SquareRoot.js';

const { default: Table } = cliTable;
const SEED = 20;
const LOADS_FROM = 0.5;
const LOADS_TO = 2000;
const LOADS_COUNT = 60;
const TARGETS = [0.5, 0.2, 0.1, 0.05, 0.01, 1e-3, 1e-4] as const;
const STANDIN_LOADS = [2, 5, 20, 100] as const;
const STANDIN_TARGETS = [0.2, 0.05, 0.01] as const;
const STANDIN_REQUESTS = 400_000;
const TIMED_LOADS = [10, 100, 1000, 10_000] as const;
const TIMED_RUNS = 200;
const PERCENT = 100;
const US_PER_MS = 1000;

type Rule = (load: number, target: number) => number;

const RULES: Readonly<Record<string, Rule>> = {
  'square root': squareRoot.squareRootServers,
  corrected: squareRoot.correctedServers,
};

/** Loads spaced evenly on a logarithmic scale. */
function loads(): readonly number[] {
  const ratio = LOADS_TO / LOADS_FROM;
  return Array.from(
    { length: LOADS_COUNT },
    (none, at) => LOADS_FROM * ratio ** (at / (LOADS_COUNT - 1)),
  );
}

function print(title: string, head: readonly string[], rows: readonly (readonly string[])[]): void {
  const table = new Table({ head: [...head], style: { head: [], border: [] } });
  rows.forEach((row) => table.push([...row]));
  process.stdout.write(`${title}\n${table.toString()}\n`);
}

function percent(count: number, total: number): string {
  return `${((PERCENT * count) / total).toFixed(1)}%`;
}

function compareRule(name: string, rule: Rule, target: number): readonly string[] {
  const misses = loads().map(
    (load) => rule(load, target) - erlangC.requiredServers(load, target).servers,
  );
  const count = (fits: (miss: number) => boolean): string =>
    percent(misses.filter(fits).length, misses.length);
  return [
    String(target),
    name,
    count((miss) => miss === 0),
    count((miss) => Math.abs(miss) <= 1),
    count((miss) => miss < 0),
    String(Math.min(...misses)),
    String(Math.max(...misses)),
  ];
}

function compareRules(): void {
  const rows = TARGETS.flatMap((target) =>
    Object.entries(RULES).map(([name, rule]) => compareRule(name, rule, target)),
  );
  const head = ['target', 'rule', 'exact', 'within 1', 'too few', 'least', 'most'];
  print(`Against exact Erlang C, ${LOADS_COUNT} loads from 0.5 to 2000`, head, rows);
}

/** Delay shares of the stand-in at the exact size, by kind of service time. */
function simulate(load: number, target: number): readonly string[] {
  const { servers, delayedRatio: delayed } = erlangC.requiredServers(load, target);
  const shares = [
    queueStandin.exponential,
    queueStandin.lognormal(1),
    queueStandin.lognormal(4),
    queueStandin.lognormal(16),
  ].map((serviceTime) =>
    queueStandin.delayedShare(
      { servers, load, requests: STANDIN_REQUESTS, serviceTime },
      new seededRandom.SeededRandom(SEED),
    ),
  );
  return [load, target, servers, ...[delayed, ...shares].map((share) => share.toFixed(4))].map(
    String,
  );
}

function compareStandin(): void {
  const rows = STANDIN_LOADS.flatMap((load) =>
    STANDIN_TARGETS.map((target) => simulate(load, target)),
  );
  const head = [
    'load',
    'target',
    'servers',
    'formula',
    'exponential',
    'lognormal cv² 1',
    'cv² 4',
    'cv² 16',
  ];
  print(`Share delayed at the exact size, ${STANDIN_REQUESTS} requests, seed ${SEED}`, head, rows);
}

function timeRule(rule: Rule, load: number): string {
  const started = performance.now();
  for (let run = 0; run < TIMED_RUNS; run += 1) {
    rule(load + run / TIMED_RUNS, 0.01);
  }
  return (((performance.now() - started) * US_PER_MS) / TIMED_RUNS).toFixed(1);
}

function compareCost(): void {
  const exact: Rule = (load, target) => erlangC.requiredServers(load, target).servers;
  const rules = Object.entries({ exact, ...RULES });
  const rows = TIMED_LOADS.map((load) => [
    String(load),
    ...rules.map(([, rule]) => timeRule(rule, load)),
  ]);
  print('Microseconds for one size', ['load', ...rules.map(([name]) => name)], rows);
}

compareRules();
compareStandin();
compareCost();
