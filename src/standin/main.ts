#!/usr/bin/env node
/** The binary `anvildeck-standin`: hosts the stand-ins that its settings name, until SIGTERM. */
import * as commander from 'commander';
import * as findingsError from '../common/FindingsError.js';
import * as seededRandom from '../common/SeededRandom.js';
import * as systemClock from '../common/SystemClock.js';
import * as settings from '../common/settings/Settings.js';
import * as standinGroup from './StandinGroup.js';
import * as standinSettings from './StandinSettings.js';

const VERSION = '0.1.0';
const EXIT_BAD_SETTINGS = 2;

interface IArguments {
  readonly config: string;
  readonly check?: boolean;
}

async function serve(cfg: standinSettings.StandinSettings): Promise<void> {
  const random = new seededRandom.SeededRandom(cfg.seed);
  const entries = cfg.standins.map(standinSettings.toOptions);
  const group = new standinGroup.StandinGroup(entries, new systemClock.SystemClock(), random);
  const stop = (): void => {
    group.dispose();
    process.exit(0);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await group.start();
  group.standins.forEach((item) => {
    process.stdout.write(`listening name=${item.options.name} address=${item.address}\n`);
  });
}

async function main(): Promise<void> {
  const program = new commander.Command('anvildeck-standin')
    .description('Small fakes of engines, stage pools, services, platform list and weight store.')
    .version(VERSION)
    .requiredOption('--config <file>', 'settings in TOML')
    .option('--check', 'check the settings and exit')
    .parse();
  const args = program.opts<IArguments>();
  const cfg = settings.readSettings(args.config, standinSettings.settingsSchema);
  if (args.check !== true) {
    await serve(cfg);
  }
}

main().catch((err: unknown) => {
  const message = err instanceof Error ? err.message : String(err);
  process.stderr.write(`${message}\n`);
  process.exit(err instanceof findingsError.FindingsError ? EXIT_BAD_SETTINGS : 1);
});
