import * as http from 'node:http';
import type * as net from 'node:net';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import * as responseGuard from '../common/wire/ResponseGuard.js';
import * as relayServer from './RelayServer.js';
import * as types from './Types.js';

/** Interval after which a further relay is tried beside those that have not answered. */
const NEXT_RELAY_DELAY_MS = 50;
/** Maximum number of relays that are tried for one connection. */
const MAX_RELAYS_TRIED = 5;
/** Time for which a relay that opened no connection is tried after the others. */
const RELAY_PAUSE_MS = 2000;

/** Components that a relay connector uses. */
export interface IRelayConnectorDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * Opens connections to endpoints through other entry VMs. Keeps to the relay that opened the last one, and tries others
 * if that one refuses or is slow.
 */
export class RelayConnector implements types.IRelayConnector {
  private relays: readonly string[] = [];

  private preferred: string | undefined;

  /** Times on the monotonic clock until which relays are tried last. */
  private readonly pausedUntil = new Map<string, commonTypes.Millis>();

  /** Knows no relay until `updateRelays` is called. */
  constructor(private readonly deps: IRelayConnectorDependencies) {}

  /** Replaces the known relays (`ip:port`); an empty list is ignored, since the former relays may still serve. */
  updateRelays(relays: readonly string[]): void {
    if (relays.length > 0) {
      this.relays = relays;
      const known = new Set(relays);
      [...this.pausedUntil.keys()]
        .filter((relay) => !known.has(relay))
        .forEach((relay) => this.pausedUntil.delete(relay));
    }
  }

  /** @inheritdoc */
  get isAvailable(): boolean {
    return this.relays.length > 0;
  }

  /** @inheritdoc */
  async connect(address: string, timeout: commonTypes.Millis): Promise<net.Socket> {
    const { clock } = this.deps;
    const deadline = clock.monotonic() + timeout;
    const failures: types.ConnectError[] = [];
    const stopController = new AbortController();
    let winner: net.Socket | undefined;
    let signalWinner = (): void => {};
    const won = new Promise<void>((resolve) => {
      signalWinner = resolve;
    });
    const keepFirst = (socket: net.Socket): void => {
      if (winner !== undefined) {
        socket.destroy();
      }
      winner ??= socket;
      signalWinner();
    };
    const tries: Promise<void>[] = [];
    for (const relay of this.rankedRelays().slice(0, MAX_RELAYS_TRIED)) {
      const opening = this.open(relay, address, deadline, stopController.signal);
      const ended = opening.then(keepFirst, (err: types.ConnectError) => {
        failures.push(err);
      });
      tries.push(ended);
      await Promise.race([ended, won, clock.sleep(NEXT_RELAY_DELAY_MS)]);
      if (winner !== undefined) {
        break;
      }
    }
    await Promise.race([won, Promise.all(tries)]);
    stopController.abort();
    if (winner === undefined) {
      const reasons = failures.map(({ message }) => message).join(', ');
      const isRefused = failures.some((failure) => failure.isRefused);
      throw new types.ConnectError(`no relay opened a connection: ${reasons}`, isRefused);
    }
    return winner;
  }

  private rankedRelays(): readonly string[] {
    const now = this.deps.clock.monotonic();
    const rank = (relay: string): number => {
      const isPaused = (this.pausedUntil.get(relay) ?? 0) > now;
      const base = relay === this.preferred ? -1 : this.deps.random.next();
      return base + (isPaused ? 2 : 0);
    };
    return this.relays
      .map((relay) => ({ relay, rank: rank(relay) }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ relay }) => relay);
  }

  /** Opens a tunnel through one relay; the signal ends the try, and a socket that comes after it is closed. */
  private open(
    relay: string,
    address: string,
    deadline: commonTypes.Millis,
    signal: AbortSignal,
  ): Promise<net.Socket> {
    const { clock, metrics } = this.deps;
    const [host, port] = relay.split(':');
    return new Promise((resolve, reject) => {
      const req = http.request({
        host,
        port: Number(port),
        method: 'CONNECT',
        path: address,
        headers: { Host: address },
        agent: false,
      });
      responseGuard.guardResponse(req);
      const abort = (): void => {
        req.destroy(new Error('another relay was faster'));
      };
      signal.addEventListener('abort', abort, { once: true });
      const timer = clock.setTimer(Math.max(0, deadline - clock.monotonic()), () =>
        req.destroy(new Error('no answer in time')),
      );
      const settle = (): void => {
        timer.dispose();
        signal.removeEventListener('abort', abort);
      };
      const fail = (err: Error, isRefused = false): void => {
        settle();
        if (!signal.aborted) {
          this.pausedUntil.set(relay, clock.monotonic() + RELAY_PAUSE_MS);
          metrics.count('relay_refused');
        }
        reject(new types.ConnectError(`${relay}: ${err.message}`, isRefused));
      };
      req.on('error', (err) => fail(err));
      // Node emits it for a response of any status.
      req.once('connect', (res: http.IncomingMessage, socket: net.Socket, head: Buffer) => {
        settle();
        if (res.statusCode !== 200) {
          socket.destroy();
          const isRefused = res.statusCode === relayServer.STATUSES.refused;
          fail(new Error(`status ${res.statusCode}`), isRefused);
          return;
        }
        this.pausedUntil.delete(relay);
        this.preferred = relay;
        socket.setNoDelay(true);
        if (head.length > 0) {
          socket.unshift(head);
        }
        resolve(socket);
      });
      req.end();
    });
  }
}
