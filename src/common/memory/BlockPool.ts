/** Size of each block. */
export const BLOCK_BYTES = 32_768;

/** Blocks of one size that are used again at once, so that dropped bytes do not wait for a garbage collection. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  /** Returns a block with any content. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes back blocks that nobody reads or writes any more. */
  give(blocks: readonly Buffer[]): void {
    this.free.push(...blocks);
  }

  /** Frees all blocks that are not in use. */
  trim(): void {
    this.free.length = 0;
  }
}
