/** Unbounded queue of chunks from one writer to one reader; its length tells the writer when to pause. */
export class ChunkQueue implements AsyncIterable<Uint8Array> {
  private chunks: Uint8Array[] = [];

  private ended = false;

  private failure: Error | undefined;

  private resolveWaiter: (() => void) | undefined;

  /** Calls `onDrained` each time the reader empties the queue, `onAbandoned` if it stops before the end. */
  constructor(
    private readonly onDrained: () => void,
    private readonly onAbandoned: () => void,
  ) {}

  /** Adds a chunk and returns the number of chunks in the queue. */
  push(chunk: Uint8Array): number {
    this.chunks.push(chunk);
    this.notify();
    return this.chunks.length;
  }

  /** Ends the sequence after the queued chunks. */
  end(): void {
    this.ended = true;
    this.notify();
  }

  /** Ends the sequence with an error after the queued chunks; only the first error is kept. */
  fail(err: Error): void {
    this.failure ??= err;
    this.ended = true;
    this.notify();
  }

  /** Yields all queued chunks joined into one, repeatedly until the end of the sequence. */
  async *[Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    let finished = false;
    try {
      for (;;) {
        if (this.chunks.length > 0) {
          yield this.takeAll();
        } else if (this.failure) {
          finished = true;
          throw this.failure;
        } else if (this.ended) {
          finished = true;
          return;
        } else {
          await new Promise<void>((resolve) => {
            this.resolveWaiter = resolve;
          });
        }
      }
    } finally {
      if (!finished) {
        this.onAbandoned();
      }
    }
  }

  private takeAll(): Uint8Array {
    const { chunks } = this;
    this.chunks = [];
    this.onDrained();
    return chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks);
  }

  private notify(): void {
    const { resolveWaiter } = this;
    this.resolveWaiter = undefined;
    resolveWaiter?.();
  }
}
