import type * as stream from 'node:stream';
import type * as commonTypes from '../Types.js';

/** Lines of one second; more are counted instead of written. */
const MAX_LINES_PER_S = 400;
/** Bytes that wait for a slow reader; beyond them lines are dropped. */
const MAX_WAITING_BYTES = 262_144;
const SECOND_MS = 1000;

/** Bounds the lines that all children of one log write. */
export class LineRateLimiter {
  private second = 0;

  private lines = 0;

  private dropped = 0;

  private batch: string[] = [];

  /** Writes to `out`, which must not block. */
  constructor(private readonly out: stream.Writable) {}

  /** Takes a line if there is room; tells how many were dropped before it. */
  write(now: commonTypes.Millis, line: string, isUrgent: boolean): void {
    const second = Math.floor(now / SECOND_MS);
    if (second !== this.second) {
      this.second = second;
      this.lines = 0;
    }
    const isFull = this.out.writableLength > MAX_WAITING_BYTES;
    if (isFull || (this.lines >= MAX_LINES_PER_S && !isUrgent)) {
      this.dropped += 1;
      return;
    }
    this.lines += 1;
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

  /** Hands on what waits. */
  flush(): void {
    if (this.batch.length > 0) {
      const text = `${this.batch.join('\n')}\n`;
      this.batch = [];
      this.out.write(text);
    }
  }
}
