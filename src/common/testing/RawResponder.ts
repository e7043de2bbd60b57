import * as net from 'node:net';
import type * as types from '../Types.js';

/** Ends a connection on which bytes have been written. */
export type EndFn = (socket: net.Socket) => void;

/** Ends of a connection that cut a response without a length, by name. */
export const CUTS: Readonly<Record<string, EndFn>> = {
  'reset with the last bytes': (socket) => socket.resetAndDestroy(),
  'reset in the next turn': (socket) => setImmediate(() => socket.resetAndDestroy()),
  'reset after 1 ms': (socket) => setTimeout(() => socket.resetAndDestroy(), 1),
  'reset after 3 ms': (socket) => setTimeout(() => socket.resetAndDestroy(), 3),
  'reset after 40 ms': (socket) => setTimeout(() => socket.resetAndDestroy(), 40),
};

/** Ends of a connection that complete a response without a length, by name. */
export const CLOSES: Readonly<Record<string, EndFn>> = {
  'closed with the last bytes': (socket) => socket.end(),
  'closed after 3 ms': (socket) => setTimeout(() => socket.end(), 3),
};

/**
 * Server on loopback that writes the same bytes on each connection once the first bytes arrive on it, before a long
 * request is in, and then ends it.
 */
export class RawResponder implements types.IDisposable {
  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  /** Writes `text` and calls `end`; both may be replaced between connections. */
  constructor(
    public text: string,
    public end: EndFn,
  ) {
    this.server = net.createServer((socket) => this.accept(socket));
  }

  /** Listens on loopback; resolves with `ip:port`. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.once('data', () => {
      socket.resume();
      socket.write(this.text);
      this.end(socket);
    });
  }
}
