import * as crypto from 'node:crypto';
import * as disposableStore from '../common/DisposableStore.js';
import * as seededRandom from '../common/SeededRandom.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import * as httpPlatformListClient from '../membership/HttpPlatformListClient.js';
import * as httpEndpointClient from './endpoints/HttpEndpointClient.js';
import * as entryApp from './EntryApp.js';
import * as entryDecisions from './EntryDecisions.js';
import type * as entrySettings from './EntrySettings.js';
import * as peerServer from './peers/PeerServer.js';
import * as controlServices from './services/ControlServices.js';
import type * as entryTypes from './Types.js';

const MAX_SEED = 2 ** 31;
const INCARNATION_BYTES = 6;

/** Maximum time that a shutdown waits for an unreachable control group. */
const CONTROL_DRAIN_TIMEOUT_MS = 5_000;

/** Services that every process creates at its start. */
export interface IProcessServices {
  readonly clock: commonTypes.IClock;
  readonly log: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * The process of one entry VM: the caller server, the peer server and the clients of the control group.
 *
 * @example
 * const running = await EntryProcess.start(cfg, { clock, log, metrics });
 * await running.drain();
 * running.dispose();
 */
export class EntryProcess implements commonTypes.IDisposable {
  private constructor(
    private readonly store: disposableStore.DisposableStore,
    private readonly app: entryApp.EntryApp,
    private readonly control: controlServices.ControlServices,
    private readonly cfg: entrySettings.EntrySettings,
    private readonly services: IProcessServices,
  ) {}

  /**
   * Connects to the control group and the peers and opens the ports. The process reports ready once a
   * configuration is in force.
   */
  static async start(
    cfg: entrySettings.EntrySettings,
    services: IProcessServices,
  ): Promise<EntryProcess> {
    const store = new disposableStore.DisposableStore();
    const peers = store.add(new peerServer.PeerServer(cfg.tls, cfg.peers, services.clock));
    const control = store.add(openControl(cfg, services, peers));
    const stages = startDecisions(cfg, services, control, peers, store);
    const { configuration, ledger, quarantine, accounting } = control;
    const dependencies = { ...services, configuration, ledger, quarantine, accounting, stages };
    const app = store.add(new entryApp.EntryApp(dependencies, cfg.callers));
    if (cfg.peerListen !== undefined) {
      await peers.listen(cfg.peerListen);
    }
    peers.configurations.start(configuration);
    const [host, port] = splitAddress(cfg.listen);
    const bound = await app.listen(host, port);
    services.log.info('listening', { address: `${host}:${bound}` });
    return new EntryProcess(store, app, control, cfg, services);
  }

  /** Refuses new requests, finishes those in flight and sends pending data to the control group. */
  async drain(): Promise<void> {
    const timeout = this.services.clock.sleep(this.cfg.drainTimeoutMs);
    await Promise.race([this.app.drain(), timeout]);
    const controlTimeout = this.services.clock.sleep(CONTROL_DRAIN_TIMEOUT_MS);
    await Promise.race([this.control.drain(), controlTimeout]);
  }

  /** @inheritdoc */
  dispose(): void {
    this.store.dispose();
  }
}

function openControl(
  cfg: entrySettings.EntrySettings,
  services: IProcessServices,
  peers: peerServer.PeerServer,
): controlServices.ControlServices {
  const { name, zone, stateDir } = cfg;
  const options = {
    name,
    zone,
    control: { addresses: cfg.control, ...(cfg.tls === undefined ? {} : { tls: cfg.tls }) },
    ...(stateDir === undefined ? {} : { stateDir }),
    ...(cfg.peers.length === 0 ? {} : { peers: peers.configurations }),
  };
  return new controlServices.ControlServices(options, services.clock, services.log);
}

function startDecisions(
  cfg: entrySettings.EntrySettings,
  services: IProcessServices,
  control: controlServices.ControlServices,
  peers: peerServer.PeerServer,
  store: disposableStore.DisposableStore,
): entryTypes.IStageRunner {
  const { configuration, quarantine } = control;
  // Peers identify this VM by its address, which also gives its position in the ring of neighbours.
  const id = cfg.peerListen ?? cfg.name;
  const incarnation = crypto.randomBytes(INCARNATION_BYTES).toString('hex');
  const self = { id, zone: cfg.zone, incarnation };
  const requestPath = store.add(
    entryDecisions.createEntryDecisions(
      self,
      {},
      {
        ...services,
        random: new seededRandom.SeededRandom(cfg.seed ?? crypto.randomInt(MAX_SEED)),
        endpointClient: store.add(new httpEndpointClient.HttpEndpointClient()),
        quarantine,
        transport: peers.transport,
        configVersion: () => configuration.current?.version ?? 0,
        onPeerVersion: (version) => services.metrics.gauge('peer_config_version', version),
        ...listClient(cfg),
      },
    ),
  );
  requestPath.updatePeers(cfg.peers.map((address) => ({ id: address, address })));
  if (configuration.current) {
    requestPath.updateConfiguration(configuration.current);
  }
  store.add(configuration.onChange((next) => requestPath.updateConfiguration(next)));
  store.add(control.zones.onChange(({ zones }) => requestPath.picker.closeZones(zones)));
  return requestPath.stageRunner;
}

function listClient(
  cfg: entrySettings.EntrySettings,
): Pick<entryDecisions.IEntryDecisionServices, 'listClient'> {
  return cfg.platformList === undefined
    ? {}
    : { listClient: new httpPlatformListClient.HttpPlatformListClient(cfg.platformList) };
}

function splitAddress(address: string): readonly [host: string, port: number] {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return [host, Number(address.slice(at + 1))];
}
