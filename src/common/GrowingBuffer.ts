const MIN_CAPACITY_BYTES = 1024;

/** Collects bytes in one buffer that doubles as needed, so that many small pieces take no more memory than one. */
export class GrowingBuffer {
  private bytes: Buffer = Buffer.alloc(0);

  private used = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.used;
  }

  /** Appends a copy of `piece`. */
  append(piece: Uint8Array): void {
    const needed = this.used + piece.length;
    if (needed > this.bytes.length) {
      const capacity = Math.max(needed, 2 * this.bytes.length, MIN_CAPACITY_BYTES);
      const grown = Buffer.allocUnsafeSlow(capacity);
      this.bytes.copy(grown, 0, 0, this.used);
      this.bytes = grown;
    }
    this.bytes.set(piece, this.used);
    this.used = needed;
  }

  /** Returns the collected bytes and starts anew. */
  take(): Buffer {
    const taken = this.bytes.subarray(0, this.used);
    this.bytes = Buffer.alloc(0);
    this.used = 0;
    return taken;
  }
}
