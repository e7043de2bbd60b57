import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import type * as commonTypes from '../common/Types.js';

/** A connection whose endpoint tells no idle timeout is reused within this time only. */
const UNTOLD_IDLE_MS = 400;
/** A connection is left this long before its endpoint would close it, so that no request crosses the close. */
const CLOSE_MARGIN_MS = 500;
/** Bytes of TCP keep-alive: a connection that went silent is found after this. */
const TCP_KEEP_ALIVE_MS = 1000;
const TIMEOUT = /(?:^|[,\s])timeout=(\d+)/i;

type AgentSocket = net.Socket & { _httpMessage?: { res?: http.IncomingMessage } };

function closeOnData(this: net.Socket): void {
  this.destroy();
}

/** Keeps connections of one endpoint as long as it does, and drops one on which bytes come that nobody asked for. */
export class KeepAliveAgent extends http.Agent {
  /** Holds at most `maxConnections`. */
  constructor(maxConnections: number) {
    super({
      keepAlive: true,
      keepAliveMsecs: TCP_KEEP_ALIVE_MS,
      maxSockets: maxConnections,
      scheduling: 'lifo',
    });
  }

  /** Decides whether a connection is kept; called by Node when an answer has ended. */
  override keepSocketAlive(socket: stream.Duplex): boolean {
    const held = socket as AgentSocket;
    const idle = KeepAliveAgent.idleTime(held);
    if (idle <= 0) {
      return false;
    }
    held.setKeepAlive(true, TCP_KEEP_ALIVE_MS);
    held.unref();
    held.setTimeout(idle, () => {
      // Only an idle connection is closed; a busy one has its timeout taken back below.
      held.destroy();
    });
    held.on('data', closeOnData);
    return true;
  }

  /** Prepares a kept connection for its next request; called by Node. */
  override reuseSocket(socket: stream.Duplex): void {
    const held = socket as AgentSocket;
    held.removeListener('data', closeOnData);
    held.setTimeout(0);
    held.removeAllListeners('timeout');
    held.ref();
  }

  private static idleTime(socket: AgentSocket): commonTypes.Millis {
    // eslint-disable-next-line no-underscore-dangle -- see above.
    const header = socket._httpMessage?.res?.headers['keep-alive'];
    const told = TIMEOUT.exec(String(header ?? ''))?.[1];
    return told === undefined ? UNTOLD_IDLE_MS : Number(told) * 1000 - CLOSE_MARGIN_MS;
  }
}
