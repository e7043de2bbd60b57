#!/usr/bin/env node
/** The binary `anvildeck-entry`: serves callers until SIGTERM or SIGINT, then drains requests in flight and exits. */
import * as commander from 'commander';
import * as findingsError from '../common/FindingsError.js';
import * as logs from '../common/services/LogService.js';
import * as metricsService from '../common/services/MetricsService.js';
import * as systemClock from '../common/SystemClock.js';
import * as entryProcess from './EntryProcess.js';
import * as entrySettings from './EntrySettings.js';

const VERSION = '0.1.0';
const EXIT_FAILURE = 1;
const EXIT_INVALID_SETTINGS = 2;

interface IArguments {
  readonly config: string;
  readonly check?: boolean;
}

function fail(err: unknown): void {
  process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
  process.exit(err instanceof findingsError.FindingsError ? EXIT_INVALID_SETTINGS : EXIT_FAILURE);
}

async function serve(cfg: entrySettings.EntrySettings): Promise<void> {
  const clock = new systemClock.SystemClock();
  const log = new logs.LogService('anvildeck-entry', cfg.log.level, clock, { vm: cfg.name });
  const { host, port } = cfg.metrics;
  const metrics = new metricsService.MetricsService({
    ...(host === undefined ? {} : { host }),
    ...(port === undefined ? {} : { port }),
  });
  const running = await entryProcess.EntryProcess.start(cfg, { clock, log, metrics });
  const stop = async (): Promise<void> => {
    log.info('draining');
    await running.drain();
    running.dispose();
    metrics.dispose();
    log.info('stopped');
    process.exit(0);
  };
  process.once('SIGTERM', () => {
    void stop();
  });
  process.once('SIGINT', () => {
    void stop();
  });
}

async function main(): Promise<void> {
  const program = new commander.Command('anvildeck-entry')
    .description('Serves callers and runs their requests on the declared endpoints.')
    .version(VERSION)
    .requiredOption('--config <file>', 'settings file in TOML')
    .option('--check', 'validate the settings and exit')
    .parse();
  const args = program.opts<IArguments>();
  const cfg = entrySettings.readEntrySettings(args.config);
  if (args.check !== true) {
    await serve(cfg);
  }
}

main().catch(fail);
