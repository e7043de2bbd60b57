import * as growingBuffer from '../../common/GrowingBuffer.js';

/** Byte values of line feed and carriage return. */
const LF = 10;
const CR = 13;

/** Whether a line can start at `at`: at the start of the bytes or after the end of a line. */
function isLineStart(bytes: Buffer, at: number): boolean {
  return at === 0 || bytes[at - 1] === LF || bytes[at - 1] === CR;
}

/** Returns the value of the `id:` line at `at`. */
function idAt(bytes: Buffer, at: number): string {
  let end = at + 3;
  while (end < bytes.length && bytes[end] !== LF && bytes[end] !== CR) {
    end += 1;
  }
  return bytes.toString('latin1', at + 3, end).trim();
}

/** Value of the last `id:` line, found by a byte search without decoding the event data. */
function lastIdOf(bytes: Buffer): string | undefined {
  for (let at = bytes.lastIndexOf('id:'); at >= 0; at = bytes.lastIndexOf('id:', at - 1)) {
    if (isLineStart(bytes, at)) {
      return idAt(bytes, at);
    }
    if (at === 0) {
      return undefined;
    }
  }
  return undefined;
}

/**
 * Splits a stream of server-sent events at event boundaries, so that a caller never receives a partial event
 * that a resumed stream sends again, and records the id of the last emitted event (WHATWG HTML, 9.2). An event ends
 * with a blank line; lines end with LF, CRLF or CR.
 */
export class EventFramer {
  private readonly partial = new growingBuffer.GrowingBuffer();

  private isLineEmpty = true;

  private isAfterCr = false;

  private lastEventId: string | undefined;

  private emitted = false;

  /** Id of the last emitted event that has one; undefined before the first. */
  get lastId(): string | undefined {
    return this.lastEventId;
  }

  /** Whether any event has been emitted. */
  get started(): boolean {
    return this.emitted;
  }

  /** Size of the partial event in the buffer; 0 at the end of an event. */
  get partialBytes(): number {
    return this.partial.length;
  }

  /** Adds a chunk; returns the bytes of the events that it completes, empty when there are none. */
  push(chunk: Uint8Array): Buffer {
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const end = this.scan(bytes);
    if (end === 0) {
      this.buffer(bytes);
      return Buffer.alloc(0);
    }
    const head = bytes.subarray(0, end);
    const events = this.partial.length === 0 ? head : Buffer.concat([this.partial.take(), head]);
    this.buffer(bytes.subarray(end));
    this.emitted = true;
    this.lastEventId = lastIdOf(events) ?? this.lastEventId;
    return events;
  }

  /** Returns the remaining bytes unchanged after the stream's end mark, and empties the buffer. */
  finish(): Buffer {
    const rest = this.partial.take();
    this.discard();
    return rest;
  }

  /** Discards the partial event in the buffer after the stream was cut. */
  discard(): void {
    this.partial.take();
    this.isLineEmpty = true;
    this.isAfterCr = false;
  }

  private buffer(bytes: Buffer): void {
    if (bytes.length > 0) {
      this.partial.append(bytes);
    }
  }

  /**
   * Returns the offset just after the last blank line, 0 when there is none. The LF of a CRLF that is split between
   * two chunks belongs to the line before it.
   */
  private scan(bytes: Buffer): number {
    let end = 0;
    for (let at = 0; at < bytes.length; at++) {
      const byte = bytes[at];
      if (byte === LF && this.isAfterCr) {
        this.isAfterCr = false;
        const endsEvent = end === at && (at > 0 || this.partial.length === 0);
        if (endsEvent) {
          end = at + 1;
        }
      } else if (byte === LF || byte === CR) {
        end = this.isLineEmpty ? at + 1 : end;
        this.isLineEmpty = true;
        this.isAfterCr = byte === CR;
      } else {
        this.isLineEmpty = false;
        this.isAfterCr = false;
      }
    }
    return end;
  }
}

/** Returns the first event id in the bytes of whole events, or undefined when no event has one. */
export function firstIdOf(events: Buffer): string | undefined {
  for (let at = events.indexOf('id:'); at >= 0; at = events.indexOf('id:', at + 1)) {
    if (isLineStart(events, at)) {
      return idAt(events, at);
    }
  }
  return undefined;
}
