/** Matches the start of a status line (RFC 9112, 4), with a status of RFC 9110, 15. */
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?$/;
/** Matches the start of a header (RFC 9112, 5), up to its value. */
const HEADER_START = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+:/;
/** Matches each character of a line break. */
const BREAK = /[\r\n]/g;
/** Characters of a broken line that are reported. */
const MAX_REPORTED_LENGTH = 64;
/** Status that switches to another protocol, which no request asks for. */
const SWITCHING_PROTOCOLS = 101;
const MIN_FINAL_STATUS = 200;

/**
 * Whether a text is the name of a header (RFC 9110, 5.1).
 *
 * @example
 * const isSound = isHeaderName('Content-Length');
 */
export function isHeaderName(name: string): boolean {
  return HEADER_START.test(`${name}:`);
}

/**
 * Checks the head of the response to one request, and those of the informational responses before it, as their bytes
 * arrive. Stricter than Node's parser, which takes any status of three digits, a blank in the name of a header and an empty
 * name, and for which a lone CR or LF in front of a name ends the head, so that the rest of the head is read as body.
 *
 * @example
 * const check = new ResponseHeadCheck();
 * socket.prependListener('data', (bytes) => {
 *   const fault = check.isDone ? undefined : check.findFault(bytes);
 *   if (fault !== undefined) req.destroy(new Error(fault));
 * });
 */
export class ResponseHeadCheck {
  /** The line that is being read, without its break. */
  private line = '';

  /** Whether a CR has ended the line, whose LF has not arrived. */
  private isBreaking = false;

  /** Status of the head that is being read; undefined in front of its status line. */
  private status: number | undefined;

  private hasEnded = false;

  /** Whether the final head has been read to its end. */
  get isDone(): boolean {
    return this.hasEnded;
  }

  /** Checks the next bytes; returns what breaks HTTP, if anything does. Not to be called after a fault. */
  findFault(bytes: Buffer): string | undefined {
    const text = bytes.toString('latin1');
    let fault: string | undefined;
    let start = 0;
    while (start < text.length && !this.hasEnded && fault === undefined) {
      if (this.isBreaking) {
        fault = text[start] === '\n' ? this.endLine() : describe('line break', this.line);
        start += 1;
      } else {
        BREAK.lastIndex = start;
        const end = BREAK.exec(text)?.index ?? text.length;
        this.line += text.slice(start, end);
        this.isBreaking = text[end] === '\r';
        fault = text[end] === '\n' ? describe('line break', this.line) : undefined;
        start = end + 1;
      }
    }
    return fault;
  }

  private endLine(): string | undefined {
    const { line } = this;
    this.line = '';
    this.isBreaking = false;
    return this.checkLine(line);
  }

  private checkLine(line: string): string | undefined {
    if (this.status === undefined) {
      return this.checkStatusLine(line);
    }
    if (line === '') {
      this.hasEnded = this.status >= MIN_FINAL_STATUS;
      this.status = undefined;
      return undefined;
    }
    return HEADER_START.test(line) ? undefined : describe('header', line);
  }

  private checkStatusLine(line: string): string | undefined {
    // Blank lines may come in front of a status line (RFC 9112, 2.2).
    if (line === '') {
      return undefined;
    }
    const status = Number(STATUS_LINE.exec(line)?.[1]);
    this.status = status;
    return status >= 100 && status !== SWITCHING_PROTOCOLS
      ? undefined
      : describe('status line', line);
  }
}

function describe(what: string, line: string): string {
  return `response with a broken ${what}: ${JSON.stringify(line.slice(0, MAX_REPORTED_LENGTH))}`;
}
