import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import type * as commonTypes from '../common/Types.js';

/** Idle timeout of connections to endpoints that do not announce one in a Keep-Alive header. */
const DEFAULT_IDLE_TIMEOUT_MS = 400;
/** Connections are closed this long before the endpoint would close them, to avoid a race with a new request. */
const CLOSE_MARGIN_MS = 500;
/** Longest time for which an idle connection is kept; endpoints may announce more than a timer can hold. */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/** Idle time before TCP keep-alive probes start, which detect dead connections. */
const TCP_KEEP_ALIVE_DELAY_MS = 1000;
/** Matches the `timeout` parameter, in seconds, of a Keep-Alive header. */
const TIMEOUT_PARAMETER = /(?:^|[,\s])timeout=(\d+)/i;

/** The socket of an agent, with the undocumented field of Node that refers to its current or last request. */
type AgentSocket = net.Socket & { _httpMessage?: { res?: http.IncomingMessage } };

function closeOnData(this: net.Socket): void {
  this.destroy();
}

/**
 * Agent for the connections to one endpoint. Closes an idle connection shortly before the idle timeout that the
 * endpoint announces, and closes it at once if unsolicited data arrives on it.
 */
export class KeepAliveAgent extends http.Agent {
  /**
   * Opens at most `maxConnections` concurrent connections, from `localAddress` if it is given; reuses the most recently
   * used one first.
   */
  constructor(maxConnections: number, localAddress?: string) {
    super({
      ...(localAddress === undefined ? {} : { localAddress }),
      keepAlive: true,
      keepAliveMsecs: TCP_KEEP_ALIVE_DELAY_MS,
      maxSockets: maxConnections,
      scheduling: 'lifo',
    });
  }

  /** Decides whether a connection is kept for reuse; called by Node after a response has ended. */
  override keepSocketAlive(socket: stream.Duplex): boolean {
    const agentSocket = socket as AgentSocket;
    const idleTimeout = KeepAliveAgent.idleTimeoutOf(agentSocket);
    if (idleTimeout <= 0) {
      return false;
    }
    agentSocket.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
    agentSocket.unref();
    agentSocket.setTimeout(idleTimeout, () => {
      // Closes idle connections only: reuseSocket removes the timeout before the next request.
      agentSocket.destroy();
    });
    agentSocket.on('data', closeOnData);
    return true;
  }

  /** Removes the idle handling from a connection before its next request; called by Node. */
  override reuseSocket(socket: stream.Duplex, req: http.ClientRequest): void {
    super.reuseSocket(socket, req);
    const agentSocket = socket as AgentSocket;
    agentSocket.removeListener('data', closeOnData);
    agentSocket.setTimeout(0);
    agentSocket.removeAllListeners('timeout');
  }

  private static idleTimeoutOf(socket: AgentSocket): commonTypes.Millis {
    // eslint-disable-next-line no-underscore-dangle -- undocumented field of Node, see AgentSocket.
    const header = socket._httpMessage?.res?.headers['keep-alive'];
    const seconds = TIMEOUT_PARAMETER.exec(String(header ?? ''))?.[1];
    return seconds === undefined
      ? DEFAULT_IDLE_TIMEOUT_MS
      : Math.min(MAX_IDLE_TIMEOUT_MS, Number(seconds) * 1000 - CLOSE_MARGIN_MS);
  }
}
