/** The command line of `anvildeckctl`; each command is defined in a file of `commands/` and registered here. */
import * as commander from 'commander';
import type * as commonTypes from '../common/Types.js';
import * as apply from './commands/Apply.js';
import * as audit from './commands/Audit.js';
import * as data from './commands/Data.js';
import * as diff from './commands/Diff.js';
import * as exitCodes from './commands/ExitCodes.js';
import * as history from './commands/History.js';
import * as key from './commands/Key.js';
import * as ledger from './commands/Ledger.js';
import * as members from './commands/Members.js';
import * as plan from './commands/Plan.js';
import * as order from './commands/Order.js';
import * as quarantine from './commands/Quarantine.js';
import * as report from './commands/Report.js';
import * as rollback from './commands/Rollback.js';
import * as show from './commands/Show.js';
import * as status from './commands/Status.js';
import * as validate from './commands/Validate.js';
import * as zone from './commands/Zone.js';
import * as connection from './Connection.js';
import type * as types from './Types.js';

const { EXIT_CODES } = exitCodes;
const VERSION = '0.1.0';

/** Registration functions of all commands, in the order of the help text. */
const COMMANDS: readonly types.AddCommand[] = [
  validate.addValidate,
  plan.addPlan,
  apply.addApply,
  show.addShow,
  diff.addDiff,
  history.addHistory,
  rollback.addRollback,
  ledger.addLedger,
  quarantine.addQuarantine,
  order.addOrder,
  zone.addZone,
  audit.addAudit,
  members.addMembers,
  data.addData,
  key.addKey,
  status.addStatus,
  report.addReport,
];

/**
 * Builds the program with all commands; call its parseAsync, since commands are asynchronous.
 * The process exits with EXIT_CODES.usage when the command line is invalid.
 *
 * @example
 * await makeProgram(clock).parseAsync(process.argv);
 */
export function makeProgram(clock: commonTypes.IClock): commander.Command {
  const program = new commander.Command('anvildeckctl')
    .description('What operators do: declarations, ledger, orders, zones, quarantine, keys.')
    .version(VERSION)
    .showHelpAfterError()
    .exitOverride(({ exitCode }) =>
      process.exit(exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage),
    );
  connection.addConnectionOptions(program);
  const ctx: types.ICommandContext = {
    clock,
    connect: () => connection.connect(program, clock),
    write: (text) => {
      process.stdout.write(text);
    },
  };
  COMMANDS.forEach((addCommand) => addCommand(program, ctx));
  return program;
}
