/** Factory of the request path of one entry VM with endpoint membership and the exchange among entry VMs. */
import * as disposableStore from '../common/DisposableStore.js';
import type * as commonTypes from '../common/Types.js';
import type * as configTypes from '../config/Types.js';
import * as healthProber from '../membership/HealthProber.js';
import * as deferredBlameAnnouncer from '../membership/DeferredBlameAnnouncer.js';
import * as membershipTable from '../membership/MembershipTable.js';
import * as peerExchange from '../membership/PeerExchange.js';
import * as platformListPoller from '../membership/PlatformListPoller.js';
import * as membershipTypes from '../membership/Types.js';
import type * as decisionOptions from './DecisionOptions.js';
import * as decisions from './Decisions.js';
import * as usageMeter from './limits/UsageMeter.js';
import type * as endpointPicker from './routing/EndpointPicker.js';

/** Services that the request path of an entry VM in a fleet uses. */
export interface IEntryDecisionServices extends Omit<
  decisions.IDecisionServices,
  'membership' | 'announcer'
> {
  /** Sends exchange messages to the other entry VMs. */
  readonly transport: membershipTypes.IExchangeTransport;
  /** Reads the platform's list of VMs; when absent, endpoints count as live until calls to them fail. */
  readonly listClient?: membershipTypes.IPlatformListClient;
  /** Version of the configuration in force on this VM; 0 before the first. */
  readonly configVersion: () => number;
  /** Called with the configuration version that a peer has in force. */
  readonly onPeerVersion: (version: number) => void;
}

/** The components of the request path of one entry VM in a fleet. */
export interface IEntryDecisions extends decisions.IDecisions {
  readonly membership: membershipTable.MembershipTable;
  readonly exchange: peerExchange.PeerExchange;
  /** Replaces the list of the other entry VMs. */
  updatePeers(peers: readonly membershipTypes.IPeer[]): void;
}

/**
 * Creates the request path of one entry VM in a fleet.
 *
 * @example
 * const built = createEntryDecisions({ id: 'entry-1', zone: 'luzon-a' }, {}, services);
 * built.updatePeers([{ id: 'entry-2', address: '127.0.0.1:7002' }]);
 * built.updateConfiguration(configuration);
 */
export function createEntryDecisions(
  self: endpointPicker.IEntryIdentity,
  overrides: decisionOptions.DecisionOverrides,
  services: IEntryDecisionServices,
  options: membershipTypes.IMembershipOptions = membershipTypes.DEFAULT_MEMBERSHIP_OPTIONS,
): IEntryDecisions {
  const { clock, random, log, metrics } = services;
  const store = new disposableStore.DisposableStore();
  const table = store.add(new membershipTable.MembershipTable(options, clock, log, metrics));
  const announcer = new deferredBlameAnnouncer.DeferredBlameAnnouncer();
  const built = store.add(
    decisions.createDecisions(self, overrides, { ...services, membership: table, announcer }),
  );
  const meter = store.add(new usageMeter.UsageMeter(built.admission, clock, options.intervalMs));
  const sources: peerExchange.IExchangeSources = {
    table,
    configVersion: services.configVersion,
    onPeerVersion: services.onPeerVersion,
    onBlame: (hint) => built.blame.observeHint(hint),
    usages: () => meter.usages(),
    onUsages: (usages) => meter.chargeRemoteWork(usages),
  };
  const exchange = store.add(
    new peerExchange.PeerExchange(
      self.id,
      options,
      services.transport,
      sources,
      clock,
      random,
      metrics,
    ),
  );
  announcer.attach(exchange);
  store.add(table.onRestart((name) => built.picker.resetEndpoint(name)));
  store.add(startProber(built, table, clock));
  if (services.listClient) {
    store.add(
      new platformListPoller.PlatformListPoller(
        services.listClient,
        table,
        options,
        () => exchange.entries,
        clock,
        random,
        log,
      ),
    );
  }
  return {
    ...built,
    membership: table,
    exchange,
    updatePeers: (peers) => exchange.updatePeers(peers),
    updateConfiguration: (cfg) => {
      built.updateConfiguration(cfg);
      table.retain(endpointNames(cfg));
    },
    dispose: () => store.dispose(),
  };
}

function startProber(
  built: decisions.IDecisions,
  table: membershipTable.MembershipTable,
  clock: commonTypes.IClock,
): healthProber.HealthProber {
  return new healthProber.HealthProber(
    () => built.picker.watchedEndpoints(),
    (endpoint) => built.confirmer.fetchIncarnation(endpoint),
    (endpoint, incarnation) => {
      built.confirmer.recordIncarnation(endpoint, incarnation);
      table.observeIncarnation(endpoint, incarnation);
    },
    clock,
  );
}

function endpointNames(cfg: configTypes.IConfiguration): ReadonlySet<string> {
  return new Set(
    cfg.declaration.pools.flatMap((pool) => pool.endpoints.map((endpoint) => endpoint.name)),
  );
}
