import type * as stream from 'node:stream';
import type * as commonTypes from '../Types.js';

/** Lines written within one second of the clock; further lines are counted and dropped. */
const MAX_LINES_PER_S = 400;
/** Bytes buffered in the stream for a slow reader; lines are dropped while more are buffered. */
const MAX_BUFFERED_BYTES = 262_144;
const SECOND_MS = 1000;

/** Limits the rate of the lines that a log and all its children write to a stream. */
export class LineRateLimiter {
  private second = 0;

  private linesThisSecond = 0;

  private dropped = 0;

  private batch: string[] = [];

  /** Writes to `out`, whose writes must not block. */
  constructor(private readonly out: stream.Writable) {}

  /**
   * Buffers a line for writing, or drops it when a limit is reached. The first line after dropped ones carries
   * their number. Urgent lines are not subject to the limit of lines per second.
   */
  write(now: commonTypes.Millis, line: string, isUrgent: boolean): void {
    const second = Math.floor(now / SECOND_MS);
    if (second !== this.second) {
      this.second = second;
      this.linesThisSecond = 0;
    }
    const isFull = this.out.writableLength > MAX_BUFFERED_BYTES;
    if (isFull || (this.linesThisSecond >= MAX_LINES_PER_S && !isUrgent)) {
      this.dropped += 1;
      return;
    }
    this.linesThisSecond += 1;
    if (this.batch.length === 0) {
      setImmediate(() => this.flush());
    }
    if (this.dropped > 0) {
      this.batch.push(`${line} dropped=${this.dropped}`);
      this.dropped = 0;
    } else {
      this.batch.push(line);
    }
  }

  /** Writes the buffered lines to the stream. */
  flush(): void {
    if (this.batch.length > 0) {
      const text = `${this.batch.join('\n')}\n`;
      this.batch = [];
      this.out.write(text);
    }
  }
}
