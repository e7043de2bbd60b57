/** `anvildeckctl history`: lists the stored versions of the declaration, newest first. */
import type * as commander from 'commander';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as versions from '../Versions.js';

const DEFAULT_LIMIT = '20';

/** Adds the command to the program. */
export function addHistory(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('history')
    .description('list versions of the declaration, newest first')
    .option('--limit <count>', 'how many', DEFAULT_LIMIT)
    .action((options: { readonly limit: string }) =>
      session.withControl(ctx, async (client) => {
        const answer = await client.query({ history: { limit: Number(options.limit) } });
        answer.history?.versions.forEach((version) => {
          ctx.write(`${versions.describeVersion(version)}\n`);
        });
      }),
    );
}
