/** Parses settings and declarations from TOML and validates them; faults are reported as findings. */
import * as fs from 'node:fs';
import * as toml from 'smol-toml';
import type * as zod from 'zod';
import * as findingsError from '../FindingsError.js';
import type * as types from '../Types.js';
import * as textFile from '../TextFile.js';
import * as fieldNames from './FieldNames.js';
import * as lineIndex from './LineIndex.js';

type Path = readonly PropertyKey[];

function formatPath(path: Path): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') {
        return `[${part}]`;
      }
      return index === 0 ? String(part) : `.${String(part)}`;
    })
    .join('');
}

/** Unit of a length limit, by the type of the value. */
const LIMIT_UNITS: ReadonlyMap<string, string> = new Map([
  ['array', ' entries'],
  ['string', ' characters'],
]);

function describeLimit(issue: zod.core.$ZodIssueTooSmall | zod.core.$ZodIssueTooBig): string {
  const unit = LIMIT_UNITS.get(issue.origin) ?? '';
  if (issue.code === 'too_big') {
    const relation = issue.inclusive === false ? 'less than' : 'at most';
    return `${relation} ${issue.maximum}${unit}`;
  }
  const relation = issue.inclusive === false ? 'more than' : 'at least';
  return `${relation} ${issue.minimum}${unit}`;
}

function describeExpected(issue: zod.core.$ZodIssue): string {
  switch (issue.code) {
    case 'unrecognized_keys':
      return 'only the documented keys';
    case 'invalid_type':
      return `a value of type ${issue.expected}`;
    case 'invalid_value':
      return `one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`;
    case 'too_small':
    case 'too_big':
      return describeLimit(issue);
    case 'custom':
      return String(issue.params?.expected ?? 'a value that fits the reference');
    default:
      return 'a value that fits the reference';
  }
}

function toFindings(
  issue: zod.core.$ZodIssue,
  file: string,
  index: lineIndex.LineIndex,
): types.IFinding[] {
  const paths: Path[] =
    issue.code === 'unrecognized_keys'
      ? issue.keys.map((key) => [...issue.path, key])
      : [issue.path];
  return paths.map((path) => {
    const valuePath = formatPath(path);
    return findingAt(file, index, valuePath, issue.message, describeExpected(issue));
  });
}

/**
 * Creates a finding for the value at a path, with its line number where it is known.
 *
 * @example
 * findingAt('a.toml', new LineIndex(text), 'pools[0].zone', 'no such zone', 'one of "a", "b"');
 */
export function findingAt(
  file: string,
  index: lineIndex.LineIndex,
  path: string,
  message: string,
  expected: string,
): types.IFinding {
  const line = index.lineOf(path);
  return { file, ...(line === undefined ? {} : { line }), path, message, expected };
}

/**
 * Parses TOML text into plain values.
 *
 * @throws FindingsError with the line of the syntax error.
 * @example
 * parseToml('a.toml', 'port = 1'); // { port: 1 }
 */
export function parseToml(file: string, text: string): unknown {
  try {
    return toml.parse(text);
  } catch (err) {
    if (!(err instanceof toml.TomlError)) {
      throw err;
    }
    const message = err.message.split('\n')[0] ?? 'not TOML';
    throw new findingsError.FindingsError([
      { file, line: err.line, path: '', message, expected: 'valid TOML 1.0' },
    ]);
  }
}

/** The result of a validation: the valid value, or the findings of an invalid one. */
export type CheckResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly findings: readonly types.IFinding[] };

/**
 * Validates a parsed value against a schema; `index` supplies the line numbers of findings.
 *
 * @example
 * const result = checkValue('a.toml', new LineIndex(text), parseToml('a.toml', text), schema);
 */
export function checkValue<T>(
  file: string,
  index: lineIndex.LineIndex,
  value: unknown,
  schema: zod.ZodType<T>,
): CheckResult<T> {
  const result = schema.safeParse(value);
  if (result.success) {
    return { ok: true, value: result.data };
  }
  const findings = result.error.issues.flatMap((issue) => toFindings(issue, file, index));
  return { ok: false, findings };
}

/**
 * Parses TOML text and validates it against a schema. Field names are camelCase in the schema and
 * snake_case in the file.
 *
 * @throws FindingsError with every fault found.
 * @example
 * const cfg = parseSettings('entry.toml', 'listen = "127.0.0.1:8080"', schema);
 */
export function parseSettings<T>(file: string, text: string, schema: zod.ZodType<T>): T {
  const value = fieldNames.toCamelCase(parseToml(file, text));
  const result = schema.safeParse(value);
  if (!result.success) {
    const index = new lineIndex.LineIndex(text);
    const issues = result.error.issues.map(withFileNames);
    throw new findingsError.FindingsError(
      issues.flatMap((issue) => toFindings(issue, file, index)),
    );
  }
  return result.data;
}

/** Returns the issue with its path and keys in snake_case, as they appear in the file. */
function withFileNames(issue: zod.core.$ZodIssue): zod.core.$ZodIssue {
  const path = issue.path.map((part) =>
    typeof part === 'string' ? fieldNames.snakeName(part) : part,
  );
  if (issue.code === 'unrecognized_keys') {
    return { ...issue, path, keys: issue.keys.map(fieldNames.snakeName) };
  }
  return { ...issue, path };
}

/**
 * Reads a text file given by an operator.
 *
 * @throws FindingsError when the file cannot be read or is not UTF-8.
 * @example
 * const text = readText('/etc/anvildeck/entry.toml');
 */
export function readText(file: string): string {
  let bytes: Buffer;
  try {
    bytes = fs.readFileSync(file);
  } catch (err) {
    const message = `cannot be read (${(err as NodeJS.ErrnoException).code ?? 'unknown error'})`;
    throw new findingsError.FindingsError([
      { file, path: '', message, expected: 'the path of a readable file' },
    ]);
  }
  return textFile.decodeTextFile(file, bytes);
}

/**
 * Reads, parses and validates a TOML file.
 *
 * @throws FindingsError with every fault found, or when the file cannot be read.
 * @example
 * const cfg = readSettings('/etc/anvildeck/entry.toml', schema);
 */
export function readSettings<T>(file: string, schema: zod.ZodType<T>): T {
  return parseSettings(file, readText(file), schema);
}
