import * as http from 'node:http';
import type * as stream from 'node:stream';
import type * as commonTypes from '../common/Types.js';
import type * as relay from '../relay/Types.js';
import * as keepAliveAgent from './KeepAliveAgent.js';
import * as relayAgent from './RelayAgent.js';

/** Weight of a new sample in the moving average of an endpoint's latency. */
const LATENCY_SAMPLE_WEIGHT = 0.2;
/** Agents that were not used for this long are destroyed. */
const MAX_UNUSED_MS = 60_000;

interface IAgentEntry {
  readonly via: relay.Via;
  readonly agent: keepAliveAgent.KeepAliveAgent;
  lastUsed: commonTypes.Millis;
  /** Moving average of the time to the head of a response; undefined before the first one. */
  latency: commonTypes.Millis | undefined;
}

/** HTTP agents with the keep-alive connections of this VM, by endpoint address and the way of the connections. */
export class EndpointAgents implements commonTypes.IDisposable {
  private readonly agents = new Map<string, IAgentEntry>();

  private sweptAt: commonTypes.Millis;

  /**
   * Creates an empty pool; agents are created on demand. Direct connections start at `localAddress`, `relays` opens the
   * others.
   */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly relays: relay.IConnector,
    private readonly localAddress?: string,
  ) {
    this.sweptAt = clock.monotonic();
  }

  /**
   * Returns the agent of an address (`ip:port`), and sets its limit of concurrent connections to `maxConnections`.
   * Also destroys agents that have been unused for a minute and on which no request runs.
   */
  agentFor(address: string, maxConnections: number, via: relay.Via = 'direct'): http.Agent {
    const now = this.clock.monotonic();
    this.sweep(now);
    const key = `${via} ${address}`;
    const present = this.agents.get(key);
    if (present !== undefined) {
      present.lastUsed = now;
      present.agent.maxSockets = maxConnections;
      return present.agent;
    }
    const agent =
      via === 'relay'
        ? new relayAgent.RelayAgent(maxConnections, address, this.relays)
        : new keepAliveAgent.KeepAliveAgent(maxConnections, this.localAddress);
    this.agents.set(key, { via, agent, lastUsed: now, latency: undefined });
    return agent;
  }

  /** Usual time to the head of a response of an address; undefined before the first direct one. */
  latencyOf(address: string): commonTypes.Millis | undefined {
    return this.agents.get(`direct ${address}`)?.latency;
  }

  /** Records the time to the head of a response. */
  recordLatency(address: string, took: commonTypes.Millis): void {
    const entry = this.agents.get(`direct ${address}`);
    if (entry !== undefined) {
      entry.latency =
        entry.latency === undefined
          ? took
          : entry.latency + LATENCY_SAMPLE_WEIGHT * (took - entry.latency);
    }
  }

  /** Closes the connections of one way on which no request runs. */
  closeIdle(via: relay.Via): void {
    [...this.agents.values()]
      .filter((entry) => entry.via === via)
      .flatMap(({ agent }) => Object.values(agent.freeSockets))
      .forEach((sockets) => sockets?.forEach((socket) => socket.destroy()));
  }

  /** Closes the connections to one address, of one way, on which no request runs and for which `isStale` is true. */
  closeStale(
    address: string,
    via: relay.Via,
    isStale: (connection: stream.Duplex) => boolean,
  ): void {
    Object.values(this.agents.get(`${via} ${address}`)?.agent.freeSockets ?? {})
      .flatMap((sockets) => sockets ?? [])
      .filter(isStale)
      .forEach((connection) => connection.destroy());
  }

  /** @inheritdoc */
  dispose(): void {
    this.agents.forEach(({ agent }) => agent.destroy());
    this.agents.clear();
  }

  /** Whether a request runs on a connection of the agent or waits for one; `destroy` would end it. */
  private static isRunning(agent: http.Agent): boolean {
    return [agent.sockets, agent.requests].some((byName) => Object.keys(byName).length > 0);
  }

  private sweep(now: commonTypes.Millis): void {
    if (now - this.sweptAt < MAX_UNUSED_MS) {
      return;
    }
    this.sweptAt = now;
    [...this.agents]
      .filter(([, { lastUsed }]) => now - lastUsed > MAX_UNUSED_MS)
      .filter(([, { agent }]) => !EndpointAgents.isRunning(agent))
      .forEach(([address, { agent }]) => {
        agent.destroy();
        this.agents.delete(address);
      });
  }
}
