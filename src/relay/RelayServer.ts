import * as http from 'node:http';
import type * as net from 'node:net';
import type * as byteBudget from '../common/memory/ByteBudget.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import * as responseEnd from '../common/wire/ResponseEnd.js';
import * as types from './Types.js';

/** Timeout of a connection to an endpoint; the VM that requests it waits about twice as long for all relays. */
const CONNECT_TIMEOUT_MS = 150;
/** Maximum number of tunnels at the same time. */
const MAX_TUNNELS = 512;
/** A tunnel without traffic for this long is closed while this VM shuts down; most have no request then. */
const IDLE_WHILE_DRAINING_MS = 1500;
/**
 * A tunnel without traffic for this long is closed when another one is opened: both its ends may have gone silent. Longer
 * than VMs keep idle connections, and than the deadlines of requests, which send nothing while an endpoint works on them.
 */
const MAX_SILENCE_MS = 600_000;

interface ITunnel {
  readonly client: net.Socket;
  /** Time of the last byte, on the monotonic clock. */
  usedAt: commonTypes.Millis;
}

/** Statuses of a tunnel that was not opened. */
export const STATUSES = {
  /** Nothing listens at the endpoint's address. */
  refused: 502,
  /** The endpoint did not answer, or its connection failed in another way. */
  unreachable: 504,
  /** The address is not in the endpoint list. */
  unknown: 403,
  /** The relay has lost its path, too, takes no tunnel now, or the endpoint's zone is out of service. */
  unavailable: 503,
} as const;

/** Components that a relay server uses. */
export interface IRelayServerDependencies {
  readonly clock: commonTypes.IClock;
  /** Opens the connections to endpoints. They never lead through a further VM, so that tunnels form no loop. */
  readonly connector: types.IConnector;
  /** Whether an address belongs to an endpoint in the current list. */
  readonly isEndpoint: (address: string) => boolean;
  /** Whether the zone of an address is in service; absent means that it always is. */
  readonly isOpen?: (address: string) => boolean;
  /** Whether this VM has lost its own path to an endpoint. */
  readonly isPathLost: (address: string) => boolean;
  /** Memory for bytes that one side of a tunnel has not read. */
  readonly memory: byteBudget.ByteBudget;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * Connects other entry VMs, which have lost their path to an endpoint, to that endpoint: an HTTP proxy that serves
 * CONNECT only (RFC 9110, 9.3.6). Bytes pass unchanged, so that all decisions on a request remain with the VM that took
 * it.
 */
export class RelayServer implements commonTypes.IDisposable {
  private readonly server = http.createServer((_, res) => {
    res.writeHead(405, { Allow: 'CONNECT', 'Content-Length': 0 }).end();
  });

  private readonly tunnels = new Set<ITunnel>();

  private isDraining = false;

  /** Creates a server that `listen` starts. */
  constructor(private readonly deps: IRelayServerDependencies) {
    this.server.on('connect', (req, client, head) => {
      void this.open(req.url ?? '', client as net.Socket, head);
    });
  }

  /** Number of open tunnels. */
  get tunnelCount(): number {
    return this.tunnels.size;
  }

  /** Listens at `ip:port`; `onError` receives the error if the port cannot be bound or the server fails later. */
  listen(address: string, onError: (err: Error) => void): void {
    const [host, port] = address.split(':');
    this.server.on('error', onError);
    this.server.listen({ host, port: Number(port) });
  }

  /** Refuses new tunnels from now on, and closes those without traffic; to be called again until none is left. */
  drain(): void {
    this.isDraining = true;
    this.silentFor(IDLE_WHILE_DRAINING_MS).forEach(({ client }) => client.destroy());
  }

  /** @inheritdoc */
  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
    this.tunnels.forEach(({ client }) => client.destroy());
  }

  private silentFor(duration: commonTypes.Millis): readonly ITunnel[] {
    const oldest = this.deps.clock.monotonic() - duration;
    return [...this.tunnels].filter(({ usedAt }) => usedAt < oldest);
  }

  private async open(address: string, client: net.Socket, head: Buffer): Promise<void> {
    client.on('error', () => {});
    this.silentFor(MAX_SILENCE_MS).forEach((silent) => {
      this.deps.metrics.count('relay_tunnels', { outcome: 'silent' });
      this.tunnels.delete(silent);
      silent.client.resetAndDestroy();
    });
    const refusal = this.refusalOf(address);
    if (refusal !== undefined) {
      this.refuse(address, client, refusal.status, refusal.reason);
      return;
    }
    const tunnel = { client, usedAt: this.deps.clock.monotonic() };
    this.tunnels.add(tunnel);
    client.once('close', () => this.tunnels.delete(tunnel));
    let endpoint: net.Socket;
    try {
      endpoint = await this.deps.connector.connect(address, CONNECT_TIMEOUT_MS);
    } catch (err) {
      const { message } = err as Error;
      const isRefused = types.isRefusal(err as Error);
      this.refuse(address, client, isRefused ? STATUSES.refused : STATUSES.unreachable, message);
      return;
    }
    this.deps.metrics.count('relay_tunnels', { outcome: 'opened' });
    client.write('HTTP/1.1 200 Connection Established\r\n\r\n');
    endpoint.write(head);
    this.join(tunnel, endpoint);
  }

  private refusalOf(address: string): { status: number; reason: string } | undefined {
    const { deps, tunnels } = this;
    if (!deps.isEndpoint(address)) {
      return { status: STATUSES.unknown, reason: 'not an endpoint in the list' };
    }
    if (deps.isOpen?.(address) === false) {
      return { status: STATUSES.unavailable, reason: 'zone out of service' };
    }
    if (this.isDraining) {
      return { status: STATUSES.unavailable, reason: 'draining' };
    }
    if (tunnels.size >= MAX_TUNNELS || deps.memory.isPressed) {
      const reason = deps.memory.isPressed ? 'no memory' : 'too many tunnels';
      return { status: STATUSES.unavailable, reason };
    }
    return deps.isPathLost(address)
      ? { status: STATUSES.unavailable, reason: 'path lost here, too' }
      : undefined;
  }

  private refuse(address: string, client: net.Socket, status: number, reason: string): void {
    this.deps.logService.info('relay-refused', { address, status, reason });
    this.deps.metrics.count('relay_tunnels', { outcome: String(status) });
    client.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nContent-Length: 0\r\n\r\n`);
  }

  /**
   * Passes bytes both ways until one side closes. The other side, which could take its end for the end of a complete
   * response, is reset unless the endpoint closed its connection in good order.
   */
  private join(tunnel: ITunnel, endpoint: net.Socket): void {
    const { client } = tunnel;
    const lease = this.deps.memory.lease('relay', () => client.resetAndDestroy());
    const recordUse = (): void => {
      Object.assign(tunnel, { usedAt: this.deps.clock.monotonic() });
      lease.charge(client.writableLength + endpoint.writableLength);
    };
    client.on('data', recordUse);
    endpoint.on('data', recordUse);
    client.on('drain', recordUse);
    endpoint.on('drain', recordUse);
    let isClosedByEndpoint = false;
    // In front of the listener of the pipe, which ends the other side.
    endpoint.prependOnceListener('end', () => {
      isClosedByEndpoint = responseEnd.isClosedByPeer(endpoint);
      if (!isClosedByEndpoint) {
        client.resetAndDestroy();
      }
    });
    client.pipe(endpoint);
    endpoint.pipe(client);
    // A caller that left must reach the endpoint at once, which could otherwise go on with the request.
    client.once('end', () => endpoint.destroy());
    client.once('close', () => {
      lease.dispose();
      endpoint.destroy();
    });
    endpoint.on('error', () => client.resetAndDestroy());
    endpoint.once('close', () => {
      if (!isClosedByEndpoint) {
        client.resetAndDestroy();
      }
    });
  }
}
