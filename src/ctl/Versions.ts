/** Fetches, compares and describes stored versions of the declaration. */
import type * as control from '#wire/control.js';
import type * as messages from '../common/wire/Messages.js';
import * as declarations from '../config/Declaration.js';
import * as diff from '../config/Diff.js';
import type * as controlClient from '../control/client/ControlClient.js';
import * as rejected from '../control/client/RejectedError.js';

/** One version of the declaration with its text, author and time. */
export type Version = messages.Message<control.wire.Configuration.$Properties>;

/**
 * Fetches a version of the declaration; 0 fetches the one in force.
 *
 * @throws ControlUnavailableError; RejectedError when the control group does not store the version.
 */
export async function fetchVersion(
  client: controlClient.ControlClient,
  version: number,
): Promise<Version> {
  const { configuration } = await client.query({ configuration: { version } });
  if (configuration === null) {
    throw new rejected.RejectedError(
      'no-version',
      `the control group does not store version ${version}`,
    );
  }
  return configuration;
}

/** Lists the changes from one declaration text to another, one per line; empty if both declare the same. */
export function describeChanges(before: string, after: string): string {
  const [from, to] = [before, after].map((text) =>
    declarations.parseDeclaration('declaration', text),
  );
  if (from === undefined || to === undefined) {
    return '';
  }
  return diff
    .findChanges(from, to)
    .map(
      ({ path, before: old, after: next }) =>
        `${path}: ${formatValue(old)} -> ${formatValue(next)}\n`,
    )
    .join('');
}

const VERSION_LINE = /^version\s*=\s*\d+/m;

/** Sets the base version of a declaration text: replaces its `version` line or prepends one. */
export function setBaseVersion(text: string, version: number): string {
  const line = `version = ${version}`;
  return VERSION_LINE.test(text) ? text.replace(VERSION_LINE, line) : `${line}\n${text}`;
}

/** Describes a version in one line: its author, time, base version and submission id. */
export function describeVersion(version: Version): string {
  const time = new Date(version.time).toISOString();
  return `version ${version.version} by ${version.operator} at ${time} from ${version.baseVersion} (submission ${version.submissionId})`;
}

function formatValue(value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value);
}
