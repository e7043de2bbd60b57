/** `anvildeckctl diff`: compares two declarations, each a file or a stored version. */
import type * as commander from 'commander';
import * as settings from '../../common/settings/Settings.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as versions from '../Versions.js';

async function readDeclarationText(
  client: controlClient.ControlClient,
  source: string,
): Promise<string> {
  if (!/^\d+$/.test(source)) {
    return settings.readText(source);
  }
  const { text } = await versions.fetchVersion(client, Number(source));
  return text;
}

/** Adds the command to the program. */
export function addDiff(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('diff')
    .description('print what changes from one declaration to another')
    .argument('<before>', 'file or version number; 0 for the version in force')
    .argument('[after]', 'file or version number; 0 for the version in force', '0')
    .action((before: string, after: string) =>
      session.withControl(ctx, async (client) => {
        const changes = versions.describeChanges(
          await readDeclarationText(client, before),
          await readDeclarationText(client, after),
        );
        ctx.write(changes === '' ? 'no difference\n' : changes);
      }),
    );
}
