/** `anvildeckctl key`: generates keys of workspaces and operators. */
import type * as commander from 'commander';
import * as keyHash from '../../common/KeyHash.js';
import type * as types from '../Types.js';

interface INewKeyOptions {
  readonly operator?: string;
}

function describeNewKey(key: keyHash.INewKey, options: INewKeyOptions): string {
  const { id, salt, hash } = key.stored;
  const fields = `id = "${id}"\nsalt = "${salt}"\nhash = "${hash}"\n`;
  const [destination, tableHeader] =
    options.operator === undefined
      ? ['the declaration, below its [[workspaces]] entry', '[[workspaces.keys]]\n']
      : ['the settings of every control replica', `[[operators]]\nname = "${options.operator}"\n`];
  return `# the key, shown this once:\n${key.text}\n\n# for ${destination}:\n${tableHeader}${fields}`;
}

/** Adds the command to the program. */
export function addKey(program: commander.Command, ctx: types.ICommandContext): void {
  const key = program.command('key').description('keys of workspaces and operators');
  key
    .command('new')
    .description('make a key; only its hash is kept anywhere')
    .option('--operator <name>', 'a key for this operator instead of a workspace')
    .action((options: INewKeyOptions) => ctx.write(describeNewKey(keyHash.newKey(), options)));
}
