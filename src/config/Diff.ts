/** Compares two declarations and renders the differences as text for operators. */
import * as fieldNames from '../common/settings/FieldNames.js';
import type * as types from './Types.js';

/** One value that differs. `before` is absent for an added value, `after` for a removed one. */
export interface IChange {
  /** Path of entry names instead of array indexes, such as `pools.llm.endpoints.llm-1.address`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** The leaf values of a declaration by path. */
type FlatDeclaration = ReadonlyMap<string, unknown>;

/** Path segment of a list entry: method and path of a route, else its name, else its id, else its index. */
function entryLabel(item: unknown, index: number): string {
  const table = typeof item === 'object' && item !== null ? (item as Record<string, unknown>) : {};
  if (typeof table.method === 'string') {
    return `${table.method} ${String(table.path)}`;
  }
  return String(table.name ?? table.id ?? index);
}

/** Adds each leaf value under its path to `leaves`; a list of plain values is one leaf. */
function flatten(value: unknown, path: string, leaves: Map<string, unknown>): void {
  if (Array.isArray(value) && value.some((item) => typeof item === 'object')) {
    value.forEach((item, index) => flatten(item, `${path}.${entryLabel(item, index)}`, leaves));
    // The stages of a pipeline run in this order, so a new order is a change.
    if (path.endsWith('.stages')) {
      leaves.set(`${path} order`, value.map(entryLabel));
    }
    return;
  }
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
    Object.entries(value).forEach(([key, item]) =>
      flatten(item, path === '' ? key : `${path}.${key}`, leaves),
    );
    return;
  }
  leaves.set(path, value);
}

function flattenDeclaration(declaration: types.IDeclaration): FlatDeclaration {
  const leaves = new Map<string, unknown>();
  // The base version records which version a declaration derives from and is not part of its content.
  const { version, ...rest } = declaration;
  flatten(fieldNames.toSnakeCase(rest), '', leaves);
  return leaves;
}

/**
 * Finds every value that differs between two declarations: removed and changed values first, then added ones.
 * The base versions are not compared.
 *
 * @example
 * findChanges(old, next); // [{ path: 'kinds.lookup.deadline_ms', before: 500, after: 400 }]
 */
export function findChanges(
  before: types.IDeclaration,
  after: types.IDeclaration,
): readonly IChange[] {
  const [leavesBefore, leavesAfter] = [flattenDeclaration(before), flattenDeclaration(after)];
  const removedOrChanged = [...leavesBefore].flatMap(([path, value]): IChange[] => {
    if (!leavesAfter.has(path)) {
      return [{ path, before: value }];
    }
    const isEqual = JSON.stringify(value) === JSON.stringify(leavesAfter.get(path));
    return isEqual ? [] : [{ path, before: value, after: leavesAfter.get(path) }];
  });
  const added = [...leavesAfter].filter(([path]) => !leavesBefore.has(path));
  return [...removedOrChanged, ...added.map(([path, value]): IChange => ({ path, after: value }))];
}

function formatValue(path: string, value: unknown): string {
  // The fact that a salt or hash changed is useful to the operator; its value is not.
  return /\.(salt|hash)$/.test(path) ? '(hidden)' : JSON.stringify(value);
}

/**
 * Formats a change as one line that starts with `+` (added), `-` (removed) or `~` (changed). Salts and hashes are
 * shown as `(hidden)`.
 *
 * @example
 * formatChange({ path: 'kinds.lookup.deadline_ms', before: 500, after: 400 });
 * // '~ kinds.lookup.deadline_ms: 500 -> 400'
 */
export function formatChange(change: IChange): string {
  const [before, after] = [change.before, change.after].map((value) =>
    formatValue(change.path, value),
  );
  if (change.before === undefined) {
    return `+ ${change.path}: ${after}`;
  }
  if (change.after === undefined) {
    return `- ${change.path}: ${before}`;
  }
  return `~ ${change.path}: ${before} -> ${after}`;
}

/**
 * Compares two declarations and formats each change as one line, in the order of findChanges. The result is empty
 * if they differ at most in their base version.
 *
 * @example
 * diffDeclarations(old, next); // ['~ kinds.lookup.deadline_ms: 500 -> 400']
 */
export function diffDeclarations(
  before: types.IDeclaration,
  after: types.IDeclaration,
): readonly string[] {
  return findChanges(before, after).map(formatChange);
}
