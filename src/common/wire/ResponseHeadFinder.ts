import type * as http from 'node:http';

const HEAD_START = 'HTTP/1.';
/** A line that begins a response; text may precede it on the line, since a body need not end with a line break. */
const STATUS_LINE = /HTTP\/1\.[01] [1-5]\d\d(?: [^\r\n]{0,256})?\r?\n/y;
/** More characters than a status line has. */
const MAX_STATUS_LINE_LENGTH = 512;
/** A longer line is not taken for a header. */
const MAX_HEADER_LENGTH = 16_384;
const HEADER_LINE = /^[!#$%&'*+\-.^_`|~\w]+:/;
const SPACE_BEFORE_VALUE = /:[ \t]+/;

/**
 * Finds the head of another response in a body that ends with its connection, and so includes whatever its sender writes
 * behind it. Mere text is no such head: headers must follow the status line, one of which the sender marks its own with.
 *
 * @example
 * const finder = new ResponseHeadFinder(['server:']);
 * finder.push(Buffer.from('text HTTP/1.1 200 OK\r\nDate: d\r\nSer')); // false
 * finder.push(Buffer.from('ver: s\r\n\r\n')); // true
 */
export class ResponseHeadFinder {
  /** The end of what was pushed, in which a status line or a header may begin. */
  private rest = '';

  /** Whether `rest` follows a status line and headers that are no marks. */
  private isInHead = false;

  /**
   * `marks` are the starts of header lines, in lower case and without spaces behind the colon, that only the sender writes;
   * one that ends with a line feed is a whole line. If absent, any status line begins a response: in JSON, texts hold no
   * line break.
   */
  constructor(private readonly marks?: readonly string[]) {}

  /** Whether the head of a response was found in the body up to the end of `part`. */
  push(part: Buffer): boolean {
    const text = this.rest + part.toString('latin1');
    let at = 0;
    while (at < text.length) {
      if (!this.isInHead) {
        const end = ResponseHeadFinder.endOfStatusLine(text, at);
        if (end === undefined) {
          this.rest = text.slice(Math.max(at, text.length - MAX_STATUS_LINE_LENGTH));
          return false;
        }
        if (this.marks === undefined) {
          return true;
        }
        this.isInHead = true;
        at = end;
      } else {
        const lineEnd = text.indexOf('\n', at);
        if (lineEnd < 0 && text.length - at <= MAX_HEADER_LENGTH) {
          break;
        }
        const line = text.slice(at, lineEnd < 0 ? text.length : lineEnd);
        if (this.isMark(`${line.trimEnd()}\n`)) {
          return true;
        }
        this.isInHead = lineEnd >= 0 && HEADER_LINE.test(line);
        // A line that is no header may hold a status line.
        at = this.isInHead ? lineEnd + 1 : at;
      }
    }
    this.rest = text.slice(at);
    return false;
  }

  /** Whether what was pushed ends inside a line that marks a response. */
  get endsInMark(): boolean {
    const { rest, marks = [] } = this;
    const start = normalize(rest);
    const isCutMark = start !== '' && marks.some((mark) => mark.startsWith(start));
    return this.isInHead && (isCutMark || this.isMark(rest));
  }

  private isMark(line: string): boolean {
    const text = normalize(line);
    return this.marks?.some((mark) => text.startsWith(mark)) ?? false;
  }

  /** Returns the position behind the next status line; undefined if no whole one follows. */
  private static endOfStatusLine(text: string, from: number): number | undefined {
    let at = text.indexOf(HEAD_START, from);
    while (at >= 0) {
      STATUS_LINE.lastIndex = at;
      if (STATUS_LINE.test(text)) {
        return STATUS_LINE.lastIndex;
      }
      at = text.indexOf(HEAD_START, at + HEAD_START.length);
    }
    return undefined;
  }
}

function normalize(line: string): string {
  return line.replace(SPACE_BEFORE_VALUE, ':').toLowerCase();
}

/**
 * Fails the body of a response once the head of another response is found in it; what a reader got before may be no body
 * of this response. To be called when the response arrives, before its body is read. `marks` as in ResponseHeadFinder.
 *
 * @example
 * req.once('response', (res) => refuseSecondResponse(res, ['server:'], () => count('second')));
 */
export function refuseSecondResponse(
  res: http.IncomingMessage,
  marks: readonly string[] | undefined,
  onFound: () => void,
): void {
  const finder = new ResponseHeadFinder(marks);
  const push = res.push.bind(res);
  // A listener of `data` would start to read the body.
  Object.assign(res, {
    push: (part: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (!res.destroyed && (part === null ? finder.endsInMark : finder.push(part))) {
        onFound();
        res.destroy(new Error('another response in the body'));
      }
      return res.destroyed ? false : push(part, encoding);
    },
  });
}
