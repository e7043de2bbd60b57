#!/usr/bin/env node
/** The binary `anvildeck-load`: runs the variants of an experiment file and compares them. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as commander from 'commander';
import * as findingsError from '../common/FindingsError.js';
import * as systemClock from '../common/SystemClock.js';
import * as loadRunner from './LoadRunner.js';
import * as loadSettings from './LoadSettings.js';
import * as reports from './Reports.js';
import * as senders from './Sender.js';
import type * as types from './Types.js';

const VERSION = '0.1.0';
const EXIT_BAD_SETTINGS = 2;

interface IArguments {
  readonly config: string;
  readonly check?: boolean;
  readonly json?: boolean;
  readonly out?: string;
}

function tell(line: string): void {
  process.stderr.write(`${line}\n`);
}

async function runVariant(
  experiment: loadSettings.IExperiment,
  variant: types.IVariant,
): Promise<types.IVariantResult> {
  const clock = new systemClock.SystemClock();
  const sender = new senders.Sender(clock, experiment.keys, experiment.seed);
  try {
    return await new loadRunner.LoadRunner(sender, clock, tell).run(variant, experiment.seed);
  } finally {
    sender.dispose();
  }
}

async function writeComparison(
  folder: string,
  results: readonly types.IVariantResult[],
): Promise<void> {
  fs.mkdirSync(folder, { recursive: true });
  fs.writeFileSync(path.join(folder, 'results.json'), `${JSON.stringify(results, null, 2)}\n`);
  fs.writeFileSync(path.join(folder, 'comparison.svg'), await reports.plotComparison(results));
}

async function runAll(experiment: loadSettings.IExperiment, args: IArguments): Promise<void> {
  const results: types.IVariantResult[] = [];
  for (const variant of experiment.variants) {
    results.push(await runVariant(experiment, variant));
  }
  const json = args.json === true;
  const text = json ? JSON.stringify(results, null, 2) : reports.formatTable(results);
  process.stdout.write(`${text}\n`);
  if (args.out !== undefined) {
    await writeComparison(args.out, results);
  }
}

async function main(): Promise<void> {
  const program = new commander.Command('anvildeck-load')
    .description('Sends open-loop load to entries on loopback and shows attainment by kind.')
    .version(VERSION)
    .requiredOption('--config <file>', 'experiment in TOML')
    .option('--check', 'check the experiment and exit')
    .option('--json', 'print the results as JSON')
    .option('--out <folder>', 'write results.json and comparison.svg there')
    .parse();
  const args = program.opts<IArguments>();
  const experiment = loadSettings.readExperiment(args.config);
  if (args.check !== true) {
    await runAll(experiment, args);
  }
}

main().catch((err: unknown) => {
  tell(err instanceof Error ? err.message : String(err));
  process.exit(err instanceof findingsError.FindingsError ? EXIT_BAD_SETTINGS : 1);
});
