import * as net from 'node:net';
import type * as commonTypes from '../Types.js';
import * as responseEnd from '../wire/ResponseEnd.js';

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const POLL_INTERVAL_MS = 5;

/** How a connection ended, as the kernel tells it: `reset` also stands for any other failure. */
export type ConnectionEnd = 'open' | 'closed' | 'reset';

/** A response as it stands on the wire, up to the end of its connection or to where it was cut. */
export interface IReceived {
  readonly request: string;
  readonly text: string;
  readonly end: ConnectionEnd;
}

/**
 * Whether the first response in `text` looks complete to the sender of `request`: by its length, its last chunk, a head that
 * allows no body or, without any of them, a proper end of its connection. HTTP/1.0 knows no chunks.
 */
export function looksWhole({ request, text, end }: IReceived): boolean {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return false;
  }
  const head = text.slice(0, headEnd);
  const body = text.slice(headEnd + HEAD_END.length);
  if (request.startsWith('HEAD ') || /^HTTP\/1\.1 (?:204|304) /.test(head)) {
    return true;
  }
  if (/^transfer-encoding: *chunked/im.test(head) && /^\S+ \S+ HTTP\/1\.1\r\n/.test(request)) {
    return hasLastChunk(body);
  }
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  return length === undefined ? end === 'closed' : body.length >= Number(length);
}

/** Whether a body in chunks has its last chunk. */
function hasLastChunk(body: string): boolean {
  let at = 0;
  for (;;) {
    const lineEnd = body.indexOf(LINE_END, at);
    const size = lineEnd < 0 ? Number.NaN : Number.parseInt(body.slice(at, lineEnd), 16);
    const end = lineEnd + LINE_END.length + size + LINE_END.length;
    if (Number.isNaN(size) || body.length < end) {
      return false;
    }
    if (size === 0) {
      return true;
    }
    at = end;
  }
}

/**
 * Sends bytes on a connection of its own and records what comes back, byte by byte, and how the connection ends.
 *
 * @example
 * const exchange = new RawExchange(port, 'GET / HTTP/1.0\r\n\r\n');
 * await exchange.until(({ end }) => end !== 'open', 1000);
 */
export class RawExchange implements IReceived, commonTypes.IDisposable {
  /** Bytes received so far, as latin1. */
  text = '';

  /** How the connection ended. */
  end: ConnectionEnd = 'open';

  /** The connection. */
  readonly socket: net.Socket;

  /** Connects to a port of a loopback address and sends `request`. */
  constructor(
    port: number,
    readonly request: string,
    host = '127.0.0.1',
  ) {
    this.socket = net.connect({ port, host });
    this.socket.on('data', (bytes: Buffer) => {
      this.text += bytes.toString('latin1');
    });
    this.socket.prependOnceListener('end', () =>
      this.recordEnd(responseEnd.isClosedByPeer(this.socket) ? 'closed' : 'reset'),
    );
    this.socket.on('error', () => this.recordEnd('reset'));
    this.socket.write(request);
  }

  /** Whether the response looks complete to the caller. */
  get isWhole(): boolean {
    return looksWhole(this);
  }

  /** Whether the response would look complete after a proper end of the connection within it, at some byte. */
  get isWholeIfCut(): boolean {
    const { request, text } = this;
    const cuts = Array.from({ length: text.length }, (_, at) => text.slice(0, at));
    return cuts.some((cut) => looksWhole({ request, text: cut, end: 'closed' }));
  }

  /** Resolves once `check` holds or `limit` milliseconds have passed; returns whether it holds. */
  async until(check: (exchange: RawExchange) => boolean, limit: number): Promise<boolean> {
    const end = performance.now() + limit;
    while (!check(this) && performance.now() < end) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
    return check(this);
  }

  /** @inheritdoc */
  dispose(): void {
    this.socket.destroy();
  }

  private recordEnd(end: 'closed' | 'reset'): void {
    if (this.end === 'open') {
      this.end = end;
    }
  }
}
