#!/usr/bin/env node
/** The binary `anvildeck-control`: runs one replica of the control group until SIGTERM or SIGINT. */
import * as crypto from 'node:crypto';
import * as commander from 'commander';
import * as findingsError from '../common/FindingsError.js';
import * as seededRandom from '../common/SeededRandom.js';
import * as logs from '../common/services/LogService.js';
import * as metricsService from '../common/services/MetricsService.js';
import * as systemClock from '../common/SystemClock.js';
import * as controlProcess from './ControlProcess.js';
import * as controlSettings from './ControlSettings.js';
import * as corruptLog from './log/CorruptLogError.js';

const VERSION = '0.1.0';
const EXIT_BAD_SETTINGS = 2;
const EXIT_CORRUPT_DATA = 3;
const EXIT_FAILED = 1;
const SEED_LIMIT = 2 ** 31;

interface IArguments {
  readonly config: string;
  readonly check?: boolean;
}

function exitCode(err: unknown): number {
  if (err instanceof findingsError.FindingsError) {
    return EXIT_BAD_SETTINGS;
  }
  return err instanceof corruptLog.CorruptLogError ? EXIT_CORRUPT_DATA : EXIT_FAILED;
}

function exitWithError(err: unknown): void {
  process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
  process.exit(exitCode(err));
}

async function serve(cfg: controlSettings.ControlSettings): Promise<void> {
  const clock = new systemClock.SystemClock();
  const logService = new logs.LogService('anvildeck-control', cfg.log.level, clock, { id: cfg.id });
  const { host, port } = cfg.metrics;
  const metrics = new metricsService.MetricsService({
    ...(host === undefined ? {} : { host }),
    ...(port === undefined ? {} : { port }),
  });
  const random = new seededRandom.SeededRandom(crypto.randomInt(SEED_LIMIT));
  const dependencies = { clock, random, logService, metrics };
  const running = await controlProcess.ControlProcess.start(cfg, dependencies);
  logService.info('listening', { address: running.address });
  running.log.onFailed(exitWithError);
  const stop = (): void => {
    logService.info('stopped');
    running.dispose();
    metrics.dispose();
    process.exit(0);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

async function main(): Promise<void> {
  const program = new commander.Command('anvildeck-control')
    .description('One replica of the control group: configuration, ledger, orders, accounting.')
    .version(VERSION)
    .requiredOption('--config <file>', 'settings in TOML')
    .option('--check', 'check the settings and exit')
    .parse();
  const args = program.opts<IArguments>();
  const cfg = controlSettings.readControlSettings(args.config);
  if (args.check !== true) {
    await serve(cfg);
  }
}

main().catch(exitWithError);
