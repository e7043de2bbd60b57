import * as http from 'node:http';
import type * as commonTypes from '../common/Types.js';
import * as keepAliveAgent from './KeepAliveAgent.js';

/** Agents of addresses that nobody called for this long are dropped. */
const UNUSED_MS = 60_000;

interface IHeld {
  readonly agent: keepAliveAgent.KeepAliveAgent;
  used: commonTypes.Millis;
}

/** Kept connections, by address. */
export class EndpointAgents implements commonTypes.IDisposable {
  private readonly agents = new Map<string, IHeld>();

  private sweptAt: commonTypes.Millis;

  /** Holds nothing yet. */
  constructor(private readonly clock: commonTypes.IClock) {
    this.sweptAt = clock.monotonic();
  }

  /** The agent of an address, which holds at most `maxConnections`. */
  agentFor(address: string, maxConnections: number): http.Agent {
    const now = this.clock.monotonic();
    this.sweep(now);
    const present = this.agents.get(address);
    if (present !== undefined) {
      present.used = now;
      present.agent.maxSockets = maxConnections;
      return present.agent;
    }
    const agent = new keepAliveAgent.KeepAliveAgent(maxConnections);
    this.agents.set(address, { agent, used: now });
    return agent;
  }

  /** @inheritdoc */
  dispose(): void {
    this.agents.forEach(({ agent }) => agent.destroy());
    this.agents.clear();
  }

  private sweep(now: commonTypes.Millis): void {
    if (now - this.sweptAt < UNUSED_MS) {
      return;
    }
    this.sweptAt = now;
    [...this.agents]
      .filter(([, { used }]) => now - used > UNUSED_MS)
      .forEach(([address, { agent }]) => {
        agent.destroy();
        this.agents.delete(address);
      });
  }
}
