import * as net from 'node:net';
import type * as commonTypes from '../../common/Types.js';
import * as directConnector from '../DirectConnector.js';
import * as types from '../Types.js';

/** What happens to a new connection: `hang` lets it time out, `accept-and-reset` resets it once it is open. */
export type LinkFault = 'none' | 'refuse' | 'hang' | 'accept-and-reset';

/** Opens real connections, unless a test has set a fault for the address or for all. */
export class FakeConnector implements types.IRelayConnector {
  /** Number of connections that were requested. */
  requested = 0;

  /** Fault of all addresses that have none of their own. */
  fault: LinkFault = 'none';

  /** Faults by address. */
  readonly faults = new Map<string, LinkFault>();

  /** Connections that were opened. */
  readonly sockets: net.Socket[] = [];

  isAvailable = true;

  private readonly connector: directConnector.DirectConnector;

  /** Real connections time out by `clock`. */
  constructor(private readonly clock: commonTypes.IClock) {
    this.connector = new directConnector.DirectConnector(clock);
  }

  /** @inheritdoc */
  async connect(address: string, timeout: commonTypes.Millis): Promise<net.Socket> {
    this.requested += 1;
    const fault = this.faults.get(address) ?? this.fault;
    if (fault === 'refuse') {
      throw new types.ConnectError('refused');
    }
    if (fault === 'hang') {
      await this.clock.sleep(timeout);
      throw new types.ConnectError('timed out');
    }
    const socket = await this.connector.connect(address, timeout);
    this.sockets.push(socket);
    if (fault === 'accept-and-reset') {
      setImmediate(() => socket.resetAndDestroy());
    }
    return socket;
  }

  /** Resets all connections that were opened. */
  resetAll(): void {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }
}
