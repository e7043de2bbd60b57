import * as net from 'node:net';
import type * as commonTypes from '../common/Types.js';
import * as types from './Types.js';

/** Opens TCP connections from this VM. */
export class DirectConnector implements types.IConnector {
  /** Connections start at `localAddress`, if it is given. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly localAddress?: string,
  ) {}

  /** @inheritdoc */
  connect(address: string, timeout: commonTypes.Millis): Promise<net.Socket> {
    const [host, port] = address.split(':');
    const { localAddress } = this;
    return new Promise((resolve, reject) => {
      const socket = net.connect({
        host: host as string,
        port: Number(port),
        noDelay: true,
        ...(localAddress === undefined ? {} : { localAddress }),
      });
      const timer = this.clock.setTimer(timeout, () =>
        socket.destroy(new Error(`connection not established within ${Math.round(timeout)} ms`)),
      );
      const fail = (err: Error): void => {
        timer.dispose();
        reject(new types.ConnectError(err.message, types.isRefusal(err)));
      };
      socket.once('error', fail);
      socket.once('connect', () => {
        timer.dispose();
        socket.removeListener('error', fail);
        resolve(socket);
      });
    });
  }
}
