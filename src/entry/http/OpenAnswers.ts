import type * as http from 'node:http';
import type * as stream from 'node:stream';

interface IConnection {
  /** Requests whose answer is not sent; each is called once it is, or once the connection has closed. */
  readonly waiting: Set<() => void>;
  /** Latest request whose head has arrived. */
  latest: http.IncomingMessage;
  /** Bytes that are sent after the answers to the complete requests. */
  lastWords: string | undefined;
}

/**
 * Tracks the requests that wait for their answer on each connection, so that the rejection of the bytes behind them is
 * sent after their answers, and no request behind the rejection is run.
 *
 * @example
 * if (openAnswers.add(req, res, () => release())) {
 *   handle(req, res);
 * }
 * openAnswers.endAfterAnswers(socket, 'HTTP/1.1 400 Bad Request\r\n\r\n');
 */
export class OpenAnswers {
  private readonly connections = new Map<stream.Duplex, IConnection>();

  /** Tracks a request until its answer is sent or its connection has closed, then calls `onClosed`; false if it is not taken. */
  add(req: http.IncomingMessage, res: http.ServerResponse, onClosed: () => void): boolean {
    const { socket } = req;
    if (this.hasEnded(socket) || this.connections.get(socket)?.lastWords !== undefined) {
      return false;
    }
    const connection = this.connections.get(socket) ?? this.track(socket, req);
    connection.latest = req;
    connection.waiting.add(onClosed);
    res.once('close', () => {
      if (connection.waiting.delete(onClosed)) {
        onClosed();
        this.sendLastWords(socket, connection);
      }
    });
    return true;
  }

  /** Whether nothing more is sent on a connection: a request on it is not run. */
  hasEnded({ destroyed, writableEnded }: stream.Duplex): boolean {
    return destroyed || writableEnded;
  }

  /** Sends `text` once the complete requests on the connection are answered, and closes it. */
  endAfterAnswers(socket: stream.Duplex, text: string): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      socket.end(text);
    } else {
      connection.lastWords = text;
      this.sendLastWords(socket, connection);
    }
  }

  private track(socket: stream.Duplex, latest: http.IncomingMessage): IConnection {
    const connection = { waiting: new Set<() => void>(), latest, lastWords: undefined };
    this.connections.set(socket, connection);
    // An answer that waits behind another one is not closed with its connection.
    socket.once('close', () => {
      this.connections.delete(socket);
      const waiting = [...connection.waiting];
      connection.waiting.clear();
      waiting.forEach((onClosed) => onClosed());
    });
    return connection;
  }

  private sendLastWords(socket: stream.Duplex, { waiting, latest, lastWords }: IConnection): void {
    // The latest request is incomplete if its body was cut or is malformed.
    const isAnswered = waiting.size <= (latest.complete ? 0 : 1);
    if (lastWords !== undefined && isAnswered && !this.hasEnded(socket)) {
      socket.end(lastWords);
    }
  }
}
