/** Linearizability check for short histories of one register: the Wing and Gong search with memoised dead ends. */

/** An operation on a register that has finished or whose outcome is unknown. */
export interface IOperation {
  readonly kind: 'read' | 'write';
  /** Position of the call in the history; all positions are unique. */
  readonly start: number;
  /** Position of the return; Infinity when the outcome is unknown. */
  readonly end: number;
  /** Value written or read. */
  readonly value: string;
  /** Value that a finished write replaced; undefined when unknown. */
  readonly previous?: string | undefined;
}

const MAX_OPERATIONS = 50;

/**
 * Whether the operations have a total order that respects real time and the semantics of a register that is
 * initially empty. A write of unknown outcome may take effect at any time after its call, or never.
 *
 * @throws RangeError for a history of more than MAX_OPERATIONS operations, since the search is exponential.
 * @example
 * isLinearizable([{ kind: 'write', start: 0, end: 1, value: 'a', previous: '' }]); // true
 */
export function isLinearizable(history: readonly IOperation[]): boolean {
  const operations = history.filter(
    (operation) => operation.end !== Infinity || operation.kind === 'write',
  );
  if (operations.length > MAX_OPERATIONS) {
    throw new RangeError(`history too long for the check: ${operations.length} operations`);
  }
  return search(operations, 0n, '', new Set());
}

function search(
  operations: readonly IOperation[],
  done: bigint,
  value: string,
  visited: Set<string>,
): boolean {
  const key = `${done}:${value}`;
  if (visited.has(key)) {
    return false;
  }
  visited.add(key);
  const candidates = operations.map((operation, at) => ({ operation, bit: 1n << BigInt(at) }));
  const remaining = candidates.filter(({ bit }) => (done & bit) === 0n);
  if (remaining.every(({ operation }) => operation.end === Infinity)) {
    return true;
  }
  const firstEnd = Math.min(...remaining.map(({ operation }) => operation.end));
  return remaining
    .filter(({ operation }) => operation.start < firstEnd && isConsistent(operation, value))
    .some(({ operation, bit }) => {
      const next = operation.kind === 'write' ? operation.value : value;
      return search(operations, done | bit, next, visited);
    });
}

function isConsistent(operation: IOperation, value: string): boolean {
  if (operation.kind === 'read') {
    return operation.value === value;
  }
  return operation.previous === undefined || operation.previous === value;
}
