/** Line feed. */
const LF = 10;
const CR = 13;

function isBoundary(bytes: Buffer, at: number): boolean {
  if (bytes[at] !== LF) {
    return false;
  }
  return bytes[at - 1] === LF || (bytes[at - 1] === CR && bytes[at - 2] === LF);
}

/** Place behind the last blank line, where whole events end; 0 when there is none. */
function endOfEvents(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (isBoundary(bytes, at)) {
      return at + 1;
    }
  }
  return 0;
}

/** Value of the last `id:` line, by bytes: the data of events is not looked at. */
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
 * Cuts a stream of server-sent events behind whole events, so that a caller never gets a part of an event
 * that a resumed stream sends again, and keeps the id of the last event passed on (WHATWG HTML, 9.2).
 * Holds at most one event.
 */
export class EventFramer {
  private rest: Buffer = Buffer.alloc(0);

  private id: string | undefined;

  private passed = false;

  /** Id of the last event passed on. */
  get lastId(): string | undefined {
    return this.id;
  }

  /** Whether any event was passed on. */
  get started(): boolean {
    return this.passed;
  }

  /** Takes a chunk; returns the whole events that it completes, empty when there are none. */
  push(chunk: Uint8Array): Buffer {
    const view = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const bytes = this.rest.length === 0 ? view : Buffer.concat([this.rest, view]);
    const end = endOfEvents(bytes);
    this.rest = end === bytes.length ? Buffer.alloc(0) : bytes.subarray(end);
    const events = bytes.subarray(0, end);
    if (events.length > 0) {
      this.passed = true;
      this.id = lastIdOf(events) ?? this.id;
    }
    return events;
  }

  /** The stream reached its end mark: what is left is passed on as it is. */
  finish(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }

  /** The stream was cut: the part of an event at its end is dropped. */
  discard(): void {
    this.rest = Buffer.alloc(0);
  }
}

/** Id of the first event that has one, of whole events. */
export function firstIdOf(events: Buffer): string | undefined {
  const start =
    events.subarray(0, 3).toString('latin1') === 'id:' ? 0 : events.indexOf('\nid:') + 1;
  if (start === 0 && events.subarray(0, 3).toString('latin1') !== 'id:') {
    return undefined;
  }
  return events.toString('latin1', start + 3, events.indexOf(LF, start)).trim();
}
