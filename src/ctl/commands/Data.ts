/** `anvildeckctl data`: checks the data folder of a stopped control replica. */
import type * as commander from 'commander';
import * as verify from '../../control/log/Verify.js';
import type * as types from '../Types.js';
import * as exitCodes from './ExitCodes.js';

async function verifyFolder(folder: string, ctx: types.ICommandContext): Promise<void> {
  const findings = await verify.verifyDataFolder(folder);
  findings.forEach(({ file, offset, what }) => ctx.write(`${file}: offset ${offset}: ${what}\n`));
  ctx.write(findings.length === 0 ? `${folder}: fine\n` : `${findings.length} findings\n`);
  process.exitCode =
    findings.length === 0 ? exitCodes.EXIT_CODES.ok : exitCodes.EXIT_CODES.findings;
}

/** Adds the command to the program. */
export function addData(program: commander.Command, ctx: types.ICommandContext): void {
  const data = program.command('data').description('the data folder of a control replica');
  data
    .command('verify')
    .description('read every record and check its checksum')
    .argument('<folder>', 'data folder')
    .action((folder: string) => verifyFolder(folder, ctx));
}
