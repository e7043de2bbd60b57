import * as net from 'node:net';
import type * as types from '../Types.js';

/** A connection through the proxy, as its two sockets. */
interface IProxied {
  readonly client: net.Socket;
  readonly upstream: net.Socket;
  isSilent: boolean;
}

/**
 * TCP proxy on loopback for one address. `silence` stops the traffic of the connections that are open without closing
 * them, as a stateful network device does that has lost them; new connections work.
 *
 * @example
 * const proxy = new SilencingProxy();
 * const address = await proxy.listen();
 * proxy.target = serverAddress;
 */
export class SilencingProxy implements types.IDisposable {
  /** `ip:port` to which connections are forwarded. */
  target = '';

  /** Whether new connections are accepted and then silent, too. */
  isSilentFromStart = false;

  private readonly server = net.createServer((client) => this.connect(client));

  private readonly proxied = new Set<IProxied>();

  private accepted = 0;

  /** Number of connections that were accepted. */
  get acceptedCount(): number {
    return this.accepted;
  }

  /** Number of connections whose client has not closed them, silent ones included. */
  get openCount(): number {
    return [...this.proxied].filter(({ client }) => !client.destroyed).length;
  }

  /** Number of connections whose server has not closed them, silent ones included. */
  get upstreamCount(): number {
    return [...this.proxied].filter(({ upstream }) => !upstream.destroyed).length;
  }

  /** Listens on a free port; resolves with the `ip:port` of the proxy. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** Drops all further bytes of the open connections, in both directions, without closing them. */
  silence(): void {
    this.proxied.forEach((connection) => Object.assign(connection, { isSilent: true }));
  }

  /** @inheritdoc */
  dispose(): void {
    this.server.close();
    this.proxied.forEach(({ client, upstream }) => {
      client.destroy();
      upstream.destroy();
    });
  }

  private connect(client: net.Socket): void {
    this.accepted += 1;
    const [host, port] = this.target.split(':');
    const upstream = net.connect({ host, port: Number(port) });
    const connection = { client, upstream, isSilent: this.isSilentFromStart };
    this.proxied.add(connection);
    const forward = (from: net.Socket, to: net.Socket): void => {
      from.on('data', (bytes: Buffer) => {
        if (!connection.isSilent) {
          to.write(bytes);
        }
      });
      from.on('error', () => {});
      from.on('close', () => {
        if (!connection.isSilent) {
          to.destroy();
          this.proxied.delete(connection);
        }
      });
    };
    forward(client, upstream);
    forward(upstream, client);
  }
}
