import * as growingBuffer from '../GrowingBuffer.js';
import * as blockPool from './BlockPool.js';

/** Up to this size bytes are collected without blocks. */
const SMALL_BYTES = 8192;

/**
 * Collects bytes in blocks of a pool.
 *
 * @example
 * const collected = new BlockBuffer(pool);
 * collected.append(part);
 * const body = collected.take();
 */
export class BlockBuffer {
  private readonly small = new growingBuffer.GrowingBuffer();

  private readonly blocks: Buffer[] = [];

  private used = 0;

  /** Takes its blocks from `pool`. */
  constructor(private readonly pool: blockPool.BlockPool) {}

  /** Memory that the buffer takes once `bytes` more were appended. */
  capacityWith(bytes: number): number {
    const total = this.used + bytes;
    return total <= SMALL_BYTES
      ? total
      : Math.ceil(total / blockPool.BLOCK_BYTES) * blockPool.BLOCK_BYTES;
  }

  /** Appends a copy of `part`. */
  append(part: Buffer): void {
    if (this.used + part.length <= SMALL_BYTES) {
      this.small.append(part);
      this.used += part.length;
      return;
    }
    if (this.blocks.length === 0) {
      const before = this.small.take();
      this.used = 0;
      this.write(before);
    }
    this.write(part);
  }

  /** Returns the collected bytes and starts anew. */
  take(): Buffer {
    if (this.blocks.length === 0) {
      this.used = 0;
      return this.small.take();
    }
    const joined = Buffer.allocUnsafeSlow(this.used);
    this.blocks.forEach((block, at) => block.copy(joined, at * blockPool.BLOCK_BYTES));
    this.clear();
    return joined;
  }

  /** Drops the collected bytes. */
  clear(): void {
    this.small.take();
    this.pool.give(this.blocks.splice(0));
    this.used = 0;
  }

  private write(part: Buffer): void {
    let at = 0;
    while (at < part.length) {
      const offset = this.used % blockPool.BLOCK_BYTES;
      if (offset === 0) {
        this.blocks.push(this.pool.take());
      }
      const block = this.blocks.at(-1) as Buffer;
      const copied = part.copy(block, offset, at);
      at += copied;
      this.used += copied;
    }
  }
}
