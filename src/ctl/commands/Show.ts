/** `anvildeckctl show`: prints a version of the declaration in a form that can be edited and applied. */
import type * as commander from 'commander';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as versions from '../Versions.js';

/** Adds the command to the program. */
export function addShow(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('show')
    .description('print the declaration in force, or an older version')
    .argument('[version]', 'version number', '0')
    .action((version: string) =>
      session.withControl(ctx, async (client) => {
        const found = await versions.fetchVersion(client, Number(version));
        ctx.write(versions.setBaseVersion(found.text, found.version));
      }),
    );
}
