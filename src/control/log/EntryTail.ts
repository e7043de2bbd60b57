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

  /** Entries from `index` on. Stops once their data reach `maxBytes`, but includes at least one entry if any. */
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
        `append at index ${index} to a log that holds ${this.baseIndex}..${this.lastIndex}`,
      );
    }
    this.entries.length = index - this.baseIndex - 1;
  }

  /** Removes the entries up to `index`, except the last `count` of them, or fewer once their data reach `maxBytes`. */
  compact(index: number, count: number, maxBytes: number): void {
    let first = index + 1;
    let bytes = 0;
    while (first > this.baseIndex + 1 && first > index + 1 - count && bytes < maxBytes) {
      first -= 1;
      bytes += this.entryAt(first)?.data.length ?? 0;
    }
    this.rebase(first - 1);
  }

  private rebase(index: number): void {
    const term = this.termAt(index);
    if (term !== undefined) {
      this.entries.splice(0, index - this.baseIndex);
      this.baseIndex = index;
      this.baseTerm = term;
    }
  }
}
