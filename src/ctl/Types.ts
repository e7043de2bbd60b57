/** Types that the commands of `anvildeckctl` share. */
import type * as commander from 'commander';
import type * as commonTypes from '../common/Types.js';
import type * as controlClient from '../control/client/ControlClient.js';

/** Services available to a command in addition to its arguments. */
export interface ICommandContext {
  readonly clock: commonTypes.IClock;
  /** Creates a client from the global options; throws UsageError without `--control`. */
  connect(): controlClient.ControlClient;
  /** Writes text to standard output without adding a newline. */
  write(text: string): void;
}

/** Registers one command with the program; see Program.ts. */
export type AddCommand = (program: commander.Command, ctx: ICommandContext) => void;
