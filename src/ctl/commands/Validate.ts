/** `anvildeckctl validate`: checks a declaration without submitting it. */
import type * as commander from 'commander';
import * as findingsError from '../../common/FindingsError.js';
import type * as commonTypes from '../../common/Types.js';
import * as settings from '../../common/settings/Settings.js';
import * as declarations from '../../config/Declaration.js';
import type * as configTypes from '../../config/Types.js';
import type * as types from '../Types.js';
import * as exitCodes from './ExitCodes.js';

const { EXIT_CODES } = exitCodes;

/** Options of `validate`. */
export interface IValidateOptions {
  /** Prints the findings as JSON. */
  readonly json?: boolean;
}

function extractFindings(err: unknown): readonly commonTypes.IFinding[] {
  if (err instanceof findingsError.FindingsError) {
    return err.findings;
  }
  throw err;
}

function summarise(file: string, declaration: configTypes.IDeclaration): string {
  const endpoints = declaration.pools.flatMap((pool) => pool.endpoints).length;
  const counts = [
    `${declaration.workspaces.length} workspaces`,
    `${declaration.kinds.length} kinds of request`,
    `${declaration.pipelines.length} pipelines`,
    `${declaration.services.length} services`,
    `${endpoints} endpoints in ${declaration.pools.length} pools`,
  ];
  return `${file}: fine (${counts.join(', ')})\n`;
}

/**
 * Checks a declaration file and lists every finding with its file, line, path and correction.
 *
 * @example
 * validate('kalinaw.toml', {}); // { text: 'kalinaw.toml: fine (…)\n', exitCode: 0 }
 */
export function validate(file: string, options: IValidateOptions): exitCodes.ICommandOutput {
  try {
    const declaration = declarations.parseDeclaration(file, settings.readText(file));
    const text =
      options.json === true
        ? `${JSON.stringify({ file, findings: [] })}\n`
        : summarise(file, declaration);
    return { text, exitCode: EXIT_CODES.ok };
  } catch (err) {
    const findings = extractFindings(err);
    const lines = findings.map(findingsError.formatFinding);
    const count = `${findings.length} finding${findings.length === 1 ? '' : 's'}`;
    const text =
      options.json === true
        ? `${JSON.stringify({ file, findings })}\n`
        : `${[...lines, count].join('\n')}\n`;
    return { text, exitCode: EXIT_CODES.findings };
  }
}

/** Adds the command to the program. */
export function addValidate(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('validate')
    .description('check a declaration and report every finding together')
    .argument('<file>', 'declaration in TOML')
    .option('--json', 'print the findings as JSON')
    .action((file: string, options: IValidateOptions) => {
      const output = validate(file, options);
      ctx.write(output.text);
      process.exitCode = output.exitCode;
    });
}
