import type * as types from './Types.js';

/** In-memory log entries after a base position; a leader sends them to followers and replicas apply them. */
export class EntryTail {
  private readonly entries: types.IEntry[];

  /** Keeps those of `entries` after entry `baseIndex`, whose term is `baseTerm`. */
  constructor(
    private baseIndex: number,
    private baseTerm: number,
    entries: readonly types.IEntry[],
  ) {
    this.entries = entries.filter((entry) => entry.index > baseIndex);
  }

  /** Index of the last entry, or the base index when the tail is empty. */
  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  /** Term of the last entry, or the base term when the tail is empty. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.baseTerm;
  }

  /** Term of an entry in memory or of the base position; undefined for other indices. */
  termAt(index: number): number | undefined {
    return index === this.baseIndex ? this.baseTerm : this.entryAt(index)?.term;
  }

  /** The entry with this index; undefined when it is not in memory. */
  entryAt(index: number): types.IEntry | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  /**
   * Entries from `index` on, which must be greater than the base index. Stops once their data reach `maxBytes`, but
   * includes at least one entry if any.
   */
  entriesFrom(index: number, maxBytes: number): readonly types.IEntry[] {
    const start = index - this.baseIndex - 1;
    let bytes = 0;
    let end = start;
    while (end < this.entries.length && (end === start || bytes < maxBytes)) {
      bytes += this.entries[end]?.data.length ?? 0;
      end += 1;
    }
    return this.entries.slice(start, end);
  }

  /** Appends entries after the last one. */
  push(entries: readonly types.IEntry[]): void {
    this.entries.push(...entries);
  }

  /**
   * Removes the entries from `index` on.
   *
   * @throws RangeError when `index` is neither in the tail nor directly after it.
   */
  truncateFrom(index: number): void {
    if (index > this.lastIndex + 1 || index <= this.baseIndex) {
      throw new RangeError(
        `cannot truncate from index ${index}: base index ${this.baseIndex}, last index ${this.lastIndex}`,
      );
    }
    this.entries.length = index - this.baseIndex - 1;
  }

  /**
   * Removes entries up to `index` but retains the last `retainedCount` of them, or fewer once the data of the retained
   * entries reach `maxRetainedBytes`. Does nothing if the term at the new base index is unknown, because that index is
   * neither in memory nor the base index.
   */
  compact(index: number, retainedCount: number, maxRetainedBytes: number): void {
    let first = index + 1;
    let bytes = 0;
    while (
      first > this.baseIndex + 1 &&
      first > index + 1 - retainedCount &&
      bytes < maxRetainedBytes
    ) {
      first -= 1;
      bytes += this.entryAt(first)?.data.length ?? 0;
    }
    this.rebase(first - 1);
  }

  /** Makes `index` the base index and removes the entries up to it; does nothing if its term is unknown. */
  private rebase(index: number): void {
    const term = this.termAt(index);
    if (term !== undefined) {
      this.entries.splice(0, index - this.baseIndex);
      this.baseIndex = index;
      this.baseTerm = term;
    }
  }
}
