import type * as http from 'node:http';
import type * as stream from 'node:stream';
import type * as commonTypes from '../common/Types.js';
import type * as relay from '../relay/Types.js';
import * as keepAliveAgent from './KeepAliveAgent.js';

/** Timeout of a new connection through another VM. */
const RELAY_TIMEOUT_MS = 300;

/** Agent for connections to one endpoint that lead through other entry VMs. */
export class RelayAgent extends keepAliveAgent.KeepAliveAgent {
  /** Opens at most `maxConnections` concurrent connections to `address` (`ip:port`). */
  constructor(
    maxConnections: number,
    private readonly address: string,
    private readonly connector: relay.IConnector,
    private readonly timeout: commonTypes.Millis = RELAY_TIMEOUT_MS,
  ) {
    super(maxConnections);
  }

  /** Opens a connection; called by Node, which takes the socket from `callback` if none is returned. */
  override createConnection(
    _: http.ClientRequestArgs,
    callback: (err: Error | null, socket: stream.Duplex) => void = () => {},
  ): undefined {
    this.connector.connect(this.address, this.timeout).then(
      (socket) => callback(null, socket),
      (err: Error) => callback(err, undefined as unknown as stream.Duplex),
    );
  }
}
