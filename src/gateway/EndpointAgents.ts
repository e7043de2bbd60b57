import * as http from 'node:http';
import type * as commonTypes from '../common/Types.js';
import * as keepAliveAgent from './KeepAliveAgent.js';

/** Agents that were not used for this long are destroyed. */
const MAX_UNUSED_MS = 60_000;

interface IAgentEntry {
  readonly agent: keepAliveAgent.KeepAliveAgent;
  lastUsed: commonTypes.Millis;
}

/** HTTP agents with the keep-alive connections of this VM, by endpoint address. */
export class EndpointAgents implements commonTypes.IDisposable {
  private readonly agents = new Map<string, IAgentEntry>();

  private sweptAt: commonTypes.Millis;

  /** Creates an empty pool, whose connections start at `localAddress`; agents are created on demand. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly localAddress?: string,
  ) {
    this.sweptAt = clock.monotonic();
  }

  /**
   * Returns the agent of an address (`ip:port`), and sets its limit of concurrent connections to `maxConnections`.
   * Also destroys agents that have been unused for a minute and on which no request runs.
   */
  agentFor(address: string, maxConnections: number): http.Agent {
    const now = this.clock.monotonic();
    this.sweep(now);
    const present = this.agents.get(address);
    if (present !== undefined) {
      present.lastUsed = now;
      present.agent.maxSockets = maxConnections;
      return present.agent;
    }
    const agent = new keepAliveAgent.KeepAliveAgent(maxConnections, this.localAddress);
    this.agents.set(address, { agent, lastUsed: now });
    return agent;
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
