const ID_WORDS = 4;
const ID_HEX_CHARS = 32;
const WORD_HEX_CHARS = 8;
const HEX_RADIX = 16;
const INITIAL_SLOTS = 1024;
const MAX_LOAD_RATIO = 0.7;

/** Hash set of 128-bit ids with their end times: open addressing in flat arrays, 24 bytes per slot. */
export class TombstoneTable {
  private slots = INITIAL_SLOTS;

  private words = new Uint32Array(INITIAL_SLOTS * ID_WORDS);

  /** End time by slot, in ms; 0 marks a free slot. */
  private endTimes = new Float64Array(INITIAL_SLOTS);

  private count = 0;

  /** Number of ids in the set. */
  get size(): number {
    return this.count;
  }

  /** Whether the set contains the id, in hexadecimal. */
  has(id: string): boolean {
    const slot = this.find(parseWords(id));
    return this.endTimes[slot] !== 0;
  }

  /** Adds an id with its end time in ms, which must be above 0, or updates the time of a known id. */
  add(id: string, endedAt: number): void {
    if ((this.count + 1) / this.slots > MAX_LOAD_RATIO) {
      this.rebuild(this.slots * 2, 0);
    }
    this.insert(parseWords(id), endedAt);
  }

  /** Removes the ids that ended before `cutoff` (ms) and returns their number. */
  removeEndedBefore(cutoff: number): number {
    const before = this.count;
    this.rebuild(this.slots, cutoff);
    return before - this.count;
  }

  /** Calls `callback` for each id. The order is unspecified and depends on the order of additions. */
  forEach(callback: (id: string, endedAt: number) => void): void {
    for (let slot = 0; slot < this.slots; slot += 1) {
      const endedAt = this.endTimes[slot] ?? 0;
      if (endedAt !== 0) {
        callback(this.formatId(slot), endedAt);
      }
    }
  }

  private insert(words: readonly number[], endedAt: number): void {
    const slot = this.find(words);
    if (this.endTimes[slot] === 0) {
      this.words.set(words, slot * ID_WORDS);
      this.count += 1;
    }
    this.endTimes[slot] = endedAt;
  }

  private find(words: readonly number[]): number {
    let slot = (words[1] ?? 0) % this.slots;
    while (this.endTimes[slot] !== 0 && !this.matches(slot, words)) {
      slot = (slot + 1) % this.slots;
    }
    return slot;
  }

  private matches(slot: number, words: readonly number[]): boolean {
    return words.every((word, at) => this.words[slot * ID_WORDS + at] === word);
  }

  private rebuild(slots: number, cutoff: number): void {
    const [words, endTimes, oldSlots] = [this.words, this.endTimes, this.slots];
    this.slots = slots;
    this.words = new Uint32Array(slots * ID_WORDS);
    this.endTimes = new Float64Array(slots);
    this.count = 0;
    for (let slot = 0; slot < oldSlots; slot += 1) {
      const endedAt = endTimes[slot] ?? 0;
      if (endedAt !== 0 && endedAt >= cutoff) {
        this.insert([...words.subarray(slot * ID_WORDS, (slot + 1) * ID_WORDS)], endedAt);
      }
    }
  }

  private formatId(slot: number): string {
    const words = [...this.words.subarray(slot * ID_WORDS, (slot + 1) * ID_WORDS)];
    return words.map((word) => word.toString(HEX_RADIX).padStart(WORD_HEX_CHARS, '0')).join('');
  }
}

function parseWords(id: string): readonly number[] {
  if (id.length !== ID_HEX_CHARS) {
    throw new RangeError(`a ledger record id must have ${ID_HEX_CHARS} hexadecimal digits`);
  }
  return Array.from({ length: ID_WORDS }, (_, at) =>
    parseInt(id.slice(at * WORD_HEX_CHARS, (at + 1) * WORD_HEX_CHARS), HEX_RADIX),
  );
}
