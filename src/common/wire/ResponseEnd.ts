import type * as http from 'node:http';
import type * as net from 'node:net';

/** How the body of a response ended. */
export type EndKind =
  /** It has not ended yet. */
  | 'open'
  /** By its length or its last chunk, or it can have no body. */
  | 'framed'
  /** With its connection, which the sender closed in good order. */
  | 'closed'
  /** With its connection, which was reset or failed, or before the end that its length or its chunks announce. */
  | 'broken';

/** Tells how a response ended. */
export interface IResponseEnd {
  /** How the response ended. */
  readonly kind: EndKind;
  /** Whether the response arrived whole: it ended by its own framing, or its sender closed the connection. */
  readonly isComplete: boolean;
}

/** The handle of a socket, an undocumented field of Node. Its method returns 0 or the number of an error. */
interface IHandleOwner {
  readonly _handle?: { readonly getpeername?: (out: object) => number } | null;
}

/** Matches a list of transfer codings that delimits the body (RFC 9112, 6.3): chunked is the last one. */
const CHUNKED_LAST = /(?:^|,)\s*chunked\s*$/i;

/**
 * Whether the other side closed a connection in good order; to be asked first thing in the `end` event of its socket. Node
 * emits `end` after a reset, too, and then leaves the socket without an error if the reset arrived with the last bytes. A
 * connection that was reset has no peer any more. False if it is not known.
 *
 * @example
 * socket.prependOnceListener('end', () => finish(isClosedByPeer(socket)));
 */
export function isClosedByPeer(socket: net.Socket): boolean {
  // `remoteAddress` is no substitute: Node keeps its value.
  // eslint-disable-next-line no-underscore-dangle -- undocumented field of Node, see IHandleOwner.
  return (socket as unknown as IHandleOwner)._handle?.getpeername?.({}) === 0;
}

/**
 * Whether a response has an end of its own: a length, chunks, or a status that allows no body. Any other one ends with its
 * connection.
 *
 * @example
 * const mayHoldMore = !isDelimited(res);
 */
export function isDelimited({ headers, statusCode }: http.IncomingMessage): boolean {
  const { 'transfer-encoding': codings, 'content-length': length } = headers;
  const hasLength = codings === undefined && length !== undefined;
  return hasLength || CHUNKED_LAST.test(codings ?? '') || statusCode === 204 || statusCode === 304;
}

/**
 * Tells how a response ended, and thereby whether it is whole. To be created when the response arrives, before its body is
 * read.
 *
 * @example
 * req.once('response', (res) => {
 *   const end = new ResponseEnd(res);
 *   res.once('end', () => (end.isComplete ? resolve(body) : reject(new Error('truncated'))));
 * });
 */
export class ResponseEnd implements IResponseEnd {
  /** How the connection ended while the response was being received. */
  private connectionEnd: 'closed' | 'broken' | undefined;

  /** Watches the connection of `res` until the response is closed. */
  constructor(private readonly res: http.IncomingMessage) {
    const { socket } = res;
    const recordEnd = (kind: 'closed' | 'broken'): void => {
      if (!res.complete) {
        this.connectionEnd ??= kind;
      }
    };
    const onEnd = (): void => recordEnd(isClosedByPeer(socket) ? 'closed' : 'broken');
    const onFailure = (): void => recordEnd('broken');
    // In front of Node's listeners, which complete a body without a length whatever ends its connection.
    socket.prependListener('end', onEnd);
    socket.prependListener('error', onFailure);
    socket.prependListener('close', onFailure);
    res.once('close', () => {
      socket.off('end', onEnd);
      socket.off('error', onFailure);
      socket.off('close', onFailure);
    });
  }

  /** @inheritdoc */
  get kind(): EndKind {
    const { connectionEnd, res } = this;
    if (connectionEnd === undefined) {
      return res.complete ? 'framed' : 'open';
    }
    return res.complete ? connectionEnd : 'broken';
  }

  /** @inheritdoc */
  get isComplete(): boolean {
    const { kind } = this;
    return kind === 'framed' || kind === 'closed';
  }
}
