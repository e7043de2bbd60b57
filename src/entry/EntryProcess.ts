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

/** Most time that a shutdown waits for a control group that is away, milliseconds. */
const HAND_OVER_TIMEOUT_MS = 5_000;

/** What every process has. */
export interface IProcessServices {
  readonly clock: commonTypes.IClock;
  readonly log: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * One entry VM with everything that it runs.
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
    private readonly needs: IProcessServices,
  ) {}

  /** Connects to the control group and the peers, and listens; ready once a configuration is known. */
  static async start(
    cfg: entrySettings.EntrySettings,
    needs: IProcessServices,
  ): Promise<EntryProcess> {
    const store = new disposableStore.DisposableStore();
    const peers = store.add(new peerServer.PeerServer(cfg.tls, cfg.peers, needs.clock));
    const control = store.add(openControl(cfg, needs, peers));
    const stages = startDecisions(cfg, needs, control, peers, store);
    const { configuration, ledger, quarantine, accounting } = control;
    const dependencies = { ...needs, configuration, ledger, quarantine, accounting, stages };
    const app = store.add(new entryApp.EntryApp(dependencies, cfg.callers));
    if (cfg.peerListen !== undefined) {
      await peers.listen(cfg.peerListen);
    }
    peers.configurations.start(configuration);
    const [host, port] = splitAddress(cfg.listen);
    const bound = await app.listen(host, port);
    needs.log.info('listening', { address: `${host}:${bound}` });
    return new EntryProcess(store, app, control, cfg, needs);
  }

  /** Refuses new requests, finishes those in flight, and hands over what is still to be told. */
  async drain(): Promise<void> {
    const late = this.needs.clock.sleep(this.cfg.drainTimeoutMs);
    await Promise.race([this.app.drain(), late]);
    const unreachable = this.needs.clock.sleep(HAND_OVER_TIMEOUT_MS);
    await Promise.race([this.control.drain(), unreachable]);
  }

  /** @inheritdoc */
  dispose(): void {
    this.store.dispose();
  }
}

function openControl(
  cfg: entrySettings.EntrySettings,
  needs: IProcessServices,
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
  return new controlServices.ControlServices(options, needs.clock, needs.log);
}

function startDecisions(
  cfg: entrySettings.EntrySettings,
  needs: IProcessServices,
  control: controlServices.ControlServices,
  peers: peerServer.PeerServer,
  store: disposableStore.DisposableStore,
): entryTypes.IStageRunner {
  const { configuration, quarantine } = control;
  // Peers know this VM by its address, on which the ring of neighbours is ordered.
  const id = cfg.peerListen ?? cfg.name;
  const incarnation = crypto.randomBytes(INCARNATION_BYTES).toString('hex');
  const self = { id, zone: cfg.zone, incarnation };
  const made = store.add(
    entryDecisions.createEntryDecisions(
      self,
      {},
      {
        ...needs,
        random: new seededRandom.SeededRandom(cfg.seed ?? crypto.randomInt(MAX_SEED)),
        endpointClient: store.add(new httpEndpointClient.HttpEndpointClient()),
        quarantine,
        transport: peers.transport,
        configVersion: () => configuration.current?.version ?? 0,
        onPeerVersion: (version) => needs.metrics.gauge('peer_config_version', version),
        ...listClient(cfg),
      },
    ),
  );
  made.updatePeers(cfg.peers.map((address) => ({ id: address, address })));
  if (configuration.current) {
    made.updateConfiguration(configuration.current);
  }
  store.add(configuration.onChange((next) => made.updateConfiguration(next)));
  return made.stageRunner;
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
