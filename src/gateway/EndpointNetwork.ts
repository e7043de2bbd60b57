import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import * as directConnector from '../relay/DirectConnector.js';
import * as endpointPaths from '../relay/EndpointPaths.js';
import * as relayConnector from '../relay/RelayConnector.js';
import * as endpointAgents from './EndpointAgents.js';
import * as endpointTransport from './EndpointTransport.js';

/** Components that the ways to endpoints use. */
export interface IEndpointNetworkDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** The ways of one process to endpoints: direct connections, those through other VMs, and what is known of both. */
export class EndpointNetwork implements commonTypes.IDisposable {
  readonly direct: directConnector.DirectConnector;

  readonly relays: relayConnector.RelayConnector;

  readonly paths: endpointPaths.EndpointPaths;

  readonly transport: endpointTransport.EndpointTransport;

  /**
   * Direct connections start at `localAddress`, if it is given.
   *
   * @example
   * const network = new EndpointNetwork({ clock, random, logService, metrics }, '10.1.0.7');
   */
  constructor(deps: IEndpointNetworkDependencies, localAddress?: string) {
    const { clock } = deps;
    this.direct = new directConnector.DirectConnector(clock, localAddress);
    this.relays = new relayConnector.RelayConnector(deps);
    this.paths = new endpointPaths.EndpointPaths({
      ...deps,
      direct: this.direct,
      relays: this.relays,
    });
    const agents = new endpointAgents.EndpointAgents(clock, this.relays, localAddress);
    const { paths } = this;
    this.transport = new endpointTransport.EndpointTransport(clock, agents, paths, deps.metrics);
  }

  /** @inheritdoc */
  dispose(): void {
    this.transport.dispose();
  }
}
