#!/usr/bin/env node
/** Entry point of the binary `anvildeckctl`; prints an error to standard error and sets the exit code. */
import * as systemClock from '../common/SystemClock.js';
import * as exitCodes from './commands/ExitCodes.js';
import * as program from './Program.js';
import * as usage from './UsageError.js';

const { EXIT_CODES } = exitCodes;

program
  .makeProgram(new systemClock.SystemClock())
  .parseAsync(process.argv)
  .catch((err: unknown) => {
    process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
    process.exitCode = err instanceof usage.UsageError ? EXIT_CODES.usage : EXIT_CODES.findings;
  });
