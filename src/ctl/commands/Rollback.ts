/** `anvildeckctl rollback`: submits the declaration of an older version as a new version. */
import type * as commander from 'commander';
import * as textDelta from '../../common/wire/TextDelta.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as versions from '../Versions.js';
import * as apply from './Apply.js';
import * as exitCodes from './ExitCodes.js';

/** Adds the command to the program. */
export function addRollback(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('rollback')
    .description('put an old declaration in force again, as a new version')
    .argument('<version>', 'the version whose declaration to take')
    .action((version: string) =>
      session.withControl(ctx, async (client) => {
        const old = await versions.fetchVersion(client, Number(version));
        const current = await versions.fetchVersion(client, 0);
        const text = versions.setBaseVersion(old.text, current.version);
        const submissionId = textDelta.hashText(text).slice(0, 32);
        const submission = { text, baseVersion: current.version, submissionId };
        const accepted = await apply.submit(client, submission, ctx.write);
        if (accepted === undefined) {
          process.exitCode = exitCodes.EXIT_CODES.findings;
        }
      }),
    );
}
