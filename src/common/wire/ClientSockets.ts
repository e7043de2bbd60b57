import * as asyncHooks from 'node:async_hooks';
import * as diagnosticsChannel from 'node:diagnostics_channel';
import type * as net from 'node:net';
import type * as types from '../Types.js';

const owners = new asyncHooks.AsyncLocalStorage<ClientSockets>();

/** Clients that wait for a socket. `owners` slows all promises of the process, so that it is enabled for these only. */
const opening = new Set<ClientSockets>();

diagnosticsChannel.subscribe('net.client.socket', (message) => {
  owners.getStore()?.add((message as { readonly socket: net.Socket }).socket);
});

/**
 * The TCP sockets of one gRPC client. Closing a client ends its open sockets and waits for the far end to do the same, and
 * leaves those that are still opening; `dispose` frees their descriptors.
 *
 * @example
 * const sockets = new ClientSockets();
 * sockets.run(() => client.makeUnaryRequest(path, serialize, deserialize, req, onAnswer));
 * client.close();
 * sockets.dispose();
 */
export class ClientSockets implements types.IDisposable {
  private readonly sockets = new Set<net.Socket>();

  private isDisposed = false;

  /** Makes a call; the socket that is opened for it belongs to this object. */
  run<T>(call: () => T): T {
    if ([...this.sockets].some(({ writable }) => writable)) {
      return call();
    }
    opening.add(this);
    return owners.run(this, call);
  }

  /** Stops waiting for a socket, because the call that needed it has ended. */
  stopWaiting(): void {
    if (opening.delete(this) && opening.size === 0) {
      owners.disable();
    }
  }

  /** Takes a socket that was opened for this client. */
  add(socket: net.Socket): void {
    // A client that connects anew has given up the sockets that it has ended.
    this.sockets.forEach((former) => former.writableEnded && former.destroy());
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    this.stopWaiting();
    if (this.isDisposed) {
      socket.destroy();
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.isDisposed = true;
    this.stopWaiting();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
