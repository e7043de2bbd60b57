import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as commonServices from '../services/Services.js';
import type * as commonTypes from '../Types.js';

/** Time for a head, and for a whole request, at a port for operators and our own processes. */
const HEAD_TIMEOUT_MS = 2000;
const CHECK_INTERVAL_MS = 500;

/** Options for a server behind a guard whose requests are complete within `requestTimeout`. */
export function guardedOptions(requestTimeout: commonTypes.Millis): http.ServerOptions {
  return {
    headersTimeout: Math.min(HEAD_TIMEOUT_MS, requestTimeout),
    requestTimeout,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    maxHeaderSize: 16_384,
  };
}

/** Whether a request has a body. */
export function announcesBody({ headers }: http.IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Unanswered requests of each connection. */
const unanswered = new WeakMap<net.Socket, number>();
/** Connections on which a request arrived before the answer to the one before it. */
const sentAhead = new WeakSet<net.Socket>();

/**
 * Closes a connection on which requests are sent ahead, after the answers to those that one read brought: Node has parsed
 * them, and keeps those that get no answer longest. For servers that answer at once.
 *
 * @example
 * http.createServer((req, res) => {
 *   closeIfAhead(req, res);
 *   res.end('ok');
 * });
 */
export function closeIfAhead({ socket }: http.IncomingMessage, res: http.ServerResponse): void {
  const before = unanswered.get(socket) ?? 0;
  unanswered.set(socket, before + 1);
  if (before > 0) {
    sentAhead.add(socket);
  }
  res.once('close', () => {
    const left = (unanswered.get(socket) ?? 1) - 1;
    unanswered.set(socket, left);
    if (left === 0 && sentAhead.has(socket)) {
      socket.destroySoon();
    }
  });
}

/** Limits of a guarded server. */
export interface IServerGuardOptions {
  /** Name of the port in the metrics. */
  readonly door: string;
  readonly maxConnections: number;
}

/**
 * Bounds the connections of a port for operators or our own processes. A new connection replaces the one that has got
 * no answer for longest, so that a crowd that stays does not keep others out.
 *
 * @example
 * guardServer(server, { door: 'ready', maxConnections: 32 }, metrics);
 */
export function guardServer(
  server: http.Server,
  { door, maxConnections }: IServerGuardOptions,
  metrics: commonServices.IMetricsService,
): void {
  // Insertion order is the order of the last answers.
  const open = new Set<net.Socket>();
  server.on('connection', (socket: net.Socket) => {
    open.add(socket);
    socket.once('close', () => open.delete(socket));
    if (open.size > maxConnections) {
      const [oldest] = open;
      metrics.count('connections_closed', { door, cause: 'too-many' });
      open.delete(oldest as net.Socket);
      oldest?.destroy();
    }
  });
  server.on('request', (req, res) => {
    res.once('finish', () => {
      if (open.delete(req.socket)) {
        open.add(req.socket);
      }
    });
  });
}
