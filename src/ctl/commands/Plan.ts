/** `anvildeckctl plan`: computes the pool sizes that a declaration needs for a given load. */
import * as cliTable from 'cli-table3';
import type * as commander from 'commander';
import * as findingsError from '../../common/FindingsError.js';
import * as settings from '../../common/settings/Settings.js';
import * as declarations from '../../config/Declaration.js';
import * as poolPlan from '../../staffing/PoolPlan.js';
import type * as types from '../Types.js';
import * as exitCodes from './ExitCodes.js';

const { EXIT_CODES } = exitCodes;
const { default: Table } = cliTable;

/** Options of `plan`. */
export interface IPlanOptions {
  /** Path of the TOML file with the load of each pool. */
  readonly load: string;
  /** Print the plan as JSON. */
  readonly json?: boolean;
}

function verdict(item: poolPlan.IPoolPlan): string {
  const { declared } = item;
  if (declared === undefined) {
    return 'not declared';
  }
  if (declared < item.endpoints) {
    return `too few: ${item.endpoints - declared} more`;
  }
  return declared < item.withZoneLost ? 'enough, not with a zone lost' : 'enough';
}

function isTooSmall(item: poolPlan.IPoolPlan): boolean {
  return (item.declared ?? 0) < item.endpoints;
}

function renderPlans(plans: readonly poolPlan.IPoolPlan[]): string {
  const head = ['pool', 'load', 'needed', 'delayed', 'zone lost', 'declared', 'verdict'];
  const table = new Table({ head, style: { head: [], border: [] } });
  plans.forEach((item) => {
    table.push([
      item.pool,
      item.offeredLoad.toFixed(2),
      String(item.endpoints),
      item.delayed.toFixed(4),
      String(item.withZoneLost),
      String(item.declared ?? '-'),
      verdict(item),
    ]);
  });
  return `${table.toString()}\n`;
}

/**
 * Computes the required endpoints of each pool of a declaration file. The exit code is EXIT_CODES.findings when a
 * pool is too small or a file has findings.
 *
 * @example
 * plan('kalinaw.toml', { load: 'load.toml' });
 */
export function plan(file: string, options: IPlanOptions): exitCodes.ICommandOutput {
  try {
    const declaration = declarations.parseDeclaration(file, settings.readText(file));
    const load = settings.readSettings(options.load, poolPlan.loadSchema);
    const plans = poolPlan.planPools(load, declaration);
    const text =
      options.json === true ? `${JSON.stringify({ pools: plans })}\n` : renderPlans(plans);
    return { text, exitCode: plans.some(isTooSmall) ? EXIT_CODES.findings : EXIT_CODES.ok };
  } catch (err) {
    if (!(err instanceof findingsError.FindingsError)) {
      throw err;
    }
    return { text: `${err.message}\n`, exitCode: EXIT_CODES.findings };
  }
}

/** Adds the command to the program. */
export function addPlan(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('plan')
    .description('size the pools of a declaration for a stated load')
    .argument('<file>', 'declaration in TOML')
    .requiredOption('--load <file>', 'load of each pool in TOML')
    .option('--json', 'print the plan as JSON')
    .action((file: string, options: IPlanOptions) => {
      const output = plan(file, options);
      ctx.write(output.text);
      process.exitCode = output.exitCode;
    });
}
