import type * as http from 'node:http';
import type * as stream from 'node:stream';

interface IConnection {
  /** Requests that have arrived and whose answer is not sent. */
  waiting: number;
  /** Latest request whose head has arrived. */
  latest: http.IncomingMessage;
  /** Bytes that are sent after the answers to the complete requests. */
  lastWords: string | undefined;
}

/**
 * Tracks the requests that wait for their answer on each connection, so that the rejection of the bytes behind them is
 * sent after their answers.
 *
 * @example
 * openAnswers.add(req, res);
 * openAnswers.endAfterAnswers(socket, 'HTTP/1.1 400 Bad Request\r\n\r\n');
 */
export class OpenAnswers {
  private readonly connections = new Map<stream.Duplex, IConnection>();

  /** Tracks a request until its answer is sent or its connection has closed. */
  add(req: http.IncomingMessage, res: http.ServerResponse): void {
    const { socket } = req;
    const { waiting = 0, lastWords } = this.connections.get(socket) ?? {};
    this.connections.set(socket, { waiting: waiting + 1, latest: req, lastWords });
    res.once('close', () => this.remove(socket));
  }

  /** Sends `text` once the complete requests on the connection are answered, and closes it. */
  endAfterAnswers(socket: stream.Duplex, text: string): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || OpenAnswers.isAnswered(connection)) {
      socket.end(text);
    } else {
      connection.lastWords = text;
    }
  }

  private remove(socket: stream.Duplex): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.waiting -= 1;
    if (connection.waiting === 0) {
      this.connections.delete(socket);
    }
    if (connection.lastWords !== undefined && OpenAnswers.isAnswered(connection)) {
      socket.end(connection.lastWords);
    }
  }

  /** Whether no complete request waits; the latest one is incomplete if its body was cut or is malformed. */
  private static isAnswered({ waiting, latest }: IConnection): boolean {
    return waiting <= (latest.complete ? 0 : 1);
  }
}
