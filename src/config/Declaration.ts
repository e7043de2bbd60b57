/** Parses declarations from TOML and renders them as TOML. */
import * as toml from 'smol-toml';
import * as findingsError from '../common/FindingsError.js';
import * as lineIndex from '../common/settings/LineIndex.js';
import * as settings from '../common/settings/Settings.js';
import * as fieldNames from '../common/settings/FieldNames.js';
import * as referenceChecker from './ReferenceChecker.js';
import * as schema from './Schema.js';
import type * as types from './Types.js';

/**
 * Parses and validates a declaration. Omitted keys take the values of DECLARATION_DEFAULTS. `file` is the name
 * used in findings; the file is not opened.
 *
 * @throws FindingsError with the syntax error if the text is not TOML; otherwise with every fault found, those of
 * the schema before those of the references.
 * @example
 * const declaration = parseDeclaration('kalinaw.toml', fs.readFileSync('kalinaw.toml', 'utf8'));
 */
export function parseDeclaration(file: string, text: string): types.IDeclaration {
  const raw = settings.parseToml(file, text);
  const index = new lineIndex.LineIndex(text);
  const result = settings.checkValue(file, index, raw, schema.declarationSchema);
  const referenceFindings = new referenceChecker.ReferenceChecker(file, index, raw).check();
  const findings = [...(result.ok ? [] : result.findings), ...referenceFindings];
  if (!result.ok || findings.length > 0) {
    throw new findingsError.FindingsError(findings);
  }
  return fieldNames.toCamelCase(result.value) as types.IDeclaration;
}

/**
 * Renders a declaration as TOML with snake_case keys. parseDeclaration restores an equal declaration from it.
 *
 * @example
 * process.stdout.write(renderDeclaration(declaration));
 */
export function renderDeclaration(declaration: types.IDeclaration): string {
  return `${toml.stringify(fieldNames.toSnakeCase(declaration)).trimEnd()}\n`;
}
