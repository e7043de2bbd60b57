import type * as types from './Types.js';

/** Thrown with all faults found in an operator's file; its message has one line for each finding. */
export class FindingsError extends Error {
  /** Builds the message from `findings`, which are all the findings of one file. */
  constructor(readonly findings: readonly types.IFinding[]) {
    super(findings.map(formatFinding).join('\n'));
    this.name = 'FindingsError';
  }
}

/**
 * Formats a finding as one line: file, line, path, fault and the expected value.
 *
 * @example
 * formatFinding({ file: 'a.toml', line: 3, path: 'port', message: 'is text', expected: 'a number' });
 * // 'a.toml:3: port: is text; write a number'
 */
export function formatFinding(finding: types.IFinding): string {
  const location = finding.line === undefined ? finding.file : `${finding.file}:${finding.line}`;
  const path = finding.path === '' ? '' : `${finding.path}: `;
  return `${location}: ${path}${finding.message}; write ${finding.expected}`;
}
