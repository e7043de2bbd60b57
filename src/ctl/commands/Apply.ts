/** `anvildeckctl apply`: submits a declaration to the control group. */
import type * as commander from 'commander';
import * as settings from '../../common/settings/Settings.js';
import * as textDelta from '../../common/wire/TextDelta.js';
import * as declarations from '../../config/Declaration.js';
import * as controlClient from '../../control/client/ControlClient.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as versions from '../Versions.js';
import * as waiting from '../Waiting.js';
import * as exitCodes from './ExitCodes.js';

const { EXIT_CODES } = exitCodes;
const DEFAULT_WAIT_SECONDS = '30';

interface IApplyOptions {
  readonly wait?: boolean;
  readonly timeout: string;
  readonly submission?: string;
}

/** A declaration to submit. */
export interface ISubmission {
  readonly text: string;
  /** Version that the text was edited from; the control group rejects the text if a newer one is in force. */
  readonly baseVersion: number;
  /** Identifies retries: a submission sent again under the same id gets the same answer. */
  readonly submissionId: string;
}

/**
 * Submits a declaration and prints the result; after a conflict, also the differences from the version in force.
 *
 * @returns The accepted version, or undefined when the text was rejected because its base version is outdated.
 * @throws ControlUnavailableError, RejectedError.
 */
export async function submit(
  client: controlClient.ControlClient,
  submission: ISubmission,
  write: (text: string) => void,
): Promise<number | undefined> {
  const { apply } = await client.execute({ apply: submission }, { timeout: 20_000 });
  if (apply === null) {
    throw new Error('the answer of the control group holds no result for apply');
  }
  if (apply.accepted) {
    write(`accepted as version ${apply.version}\n`);
    return apply.version;
  }
  const winnerTime = new Date(apply.winnerTime).toISOString();
  write(
    `refused: made from version ${submission.baseVersion}, but version ${apply.version} is in force\n` +
      `${apply.winner} won at ${winnerTime} (submission ${apply.winnerSubmission})\n`,
  );
  write(await describeConflict(client, submission));
  return undefined;
}

async function describeConflict(
  client: controlClient.ControlClient,
  submission: ISubmission,
): Promise<string> {
  const current = await versions.fetchVersion(client, 0);
  const changes = versions.describeChanges(submission.text, current.text);
  return changes === ''
    ? `version ${current.version} declares the same\n`
    : `what version ${current.version} says instead of yours:\n${changes}`;
}

async function applyFile(
  file: string,
  options: IApplyOptions,
  ctx: types.ICommandContext,
): Promise<void> {
  const text = settings.readText(file);
  const { version: baseVersion } = declarations.parseDeclaration(file, text);
  const submissionId = options.submission ?? textDelta.hashText(text).slice(0, 32);
  await session.withControl(ctx, async (client) => {
    const version = await submit(client, { text, baseVersion, submissionId }, ctx.write);
    if (version === undefined) {
      process.exitCode = EXIT_CODES.findings;
      return;
    }
    if (options.wait === true) {
      const inForce = await waiting.waitUntilInForce(client, version, Number(options.timeout), ctx);
      process.exitCode = inForce ? EXIT_CODES.ok : EXIT_CODES.findings;
    }
  });
}

/** Adds the command to the program. */
export function addApply(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('apply')
    .description('submit a declaration; the same file sent again gets the same answer')
    .argument('<file>', 'declaration in TOML; its version is the one that it was made from')
    .option('--submission <id>', 'id of the submission; made from the text when left out')
    .option('--wait', 'wait until every live entry VM has it in force')
    .option('--timeout <seconds>', 'how long to wait', DEFAULT_WAIT_SECONDS)
    .action((file: string, options: IApplyOptions) => applyFile(file, options, ctx));
}
