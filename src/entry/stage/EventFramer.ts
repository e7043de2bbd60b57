/** Byte values of line feed and carriage return. */
const LF = 10;
const CR = 13;

function isBlankLineEnd(bytes: Buffer, at: number): boolean {
  if (bytes[at] !== LF) {
    return false;
  }
  return bytes[at - 1] === LF || (bytes[at - 1] === CR && bytes[at - 2] === LF);
}

/** Offset just after the last blank line, which ends the last whole event; 0 when there is none. */
function endOfEvents(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (isBlankLineEnd(bytes, at)) {
      return at + 1;
    }
  }
  return 0;
}

/** Value of the last `id:` line, found by a byte search without decoding the event data. */
function lastIdOf(bytes: Buffer): string | undefined {
  for (let at = bytes.lastIndexOf('id:'); at >= 0; at = bytes.lastIndexOf('id:', at - 1)) {
    if (at === 0 || bytes[at - 1] === LF) {
      const end = bytes.indexOf(LF, at);
      return bytes.toString('latin1', at + 3, end).trim();
    }
    if (at === 0) {
      return undefined;
    }
  }
  return undefined;
}

/**
 * Splits a stream of server-sent events at event boundaries, so that a caller never receives a partial event
 * that a resumed stream sends again, and records the id of the last emitted event (WHATWG HTML, 9.2).
 * Buffers at most one event.
 */
export class EventFramer {
  private partialEvent: Buffer = Buffer.alloc(0);

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

  /** Adds a chunk; returns the bytes of the events that it completes, empty when there are none. */
  push(chunk: Uint8Array): Buffer {
    const view = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const bytes = this.partialEvent.length === 0 ? view : Buffer.concat([this.partialEvent, view]);
    const end = endOfEvents(bytes);
    this.partialEvent = end === bytes.length ? Buffer.alloc(0) : bytes.subarray(end);
    const events = bytes.subarray(0, end);
    if (events.length > 0) {
      this.emitted = true;
      this.lastEventId = lastIdOf(events) ?? this.lastEventId;
    }
    return events;
  }

  /** Returns the remaining bytes unchanged after the stream's end mark, and empties the buffer. */
  finish(): Buffer {
    const { partialEvent } = this;
    this.partialEvent = Buffer.alloc(0);
    return partialEvent;
  }

  /** Discards the partial event in the buffer after the stream was cut. */
  discard(): void {
    this.partialEvent = Buffer.alloc(0);
  }
}

/** Returns the first event id in the bytes of whole events, or undefined when no event has one. */
export function firstIdOf(events: Buffer): string | undefined {
  const start =
    events.subarray(0, 3).toString('latin1') === 'id:' ? 0 : events.indexOf('\nid:') + 1;
  if (start === 0 && events.subarray(0, 3).toString('latin1') !== 'id:') {
    return undefined;
  }
  return events.toString('latin1', start + 3, events.indexOf(LF, start)).trim();
}
