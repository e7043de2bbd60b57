import * as grpc from '@grpc/grpc-js';
import * as blameTable from '../blame/BlameTable.js';
import type * as blame from '../blame/Types.js';
import * as disposableStore from '../common/DisposableStore.js';
import * as silenceOptions from '../common/wire/SilenceOptions.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as batching from '../batching/Types.js';
import * as coordinators from '../coordination/Coordinator.js';
import * as feedServer from '../coordination/FeedServer.js';
import * as streamRecorder from '../coordination/StreamRecorder.js';
import * as streamVersions from '../coordination/StreamVersions.js';
import * as hedgePolicy from '../hedging/HedgePolicy.js';
import type * as hedging from '../hedging/Types.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import * as endpointPoller from '../routing/EndpointPoller.js';
import type * as coldEndpoints from '../ratelimit/ColdEndpoints.js';
import * as endpointRates from '../ratelimit/EndpointRates.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import * as sharedRateLimiter from '../ratelimit/SharedRateLimiter.js';
import * as roomKeeper from '../room/RoomKeeper.js';
import type * as routing from '../routing/Types.js';
import * as zoneFollower from '../zones/ZoneFollower.js';
import * as zoneService from '../zones/ZoneService.js';
import * as documentService from './document/DocumentService.js';
import type * as documentState from './document/DocumentState.js';
import * as sharedState from './document/SharedState.js';
import * as groupManager from './group/GroupManager.js';
import * as groupMonitor from './group/GroupMonitor.js';
import * as closableDisk from './log/ClosableDisk.js';
import * as privateDisk from './log/PrivateDisk.js';
import * as retryOnFullDisk from './log/RetryOnFullDisk.js';
import * as grpcPeerTransport from './replication/GrpcPeerTransport.js';
import * as replica from './replication/Replica.js';
import type * as controlTypes from './Types.js';

/** Poll interval of the endpoint list; a leaving endpoint must be detected well within its drain time. */
const ENDPOINT_POLL_INTERVAL_MS = 900;
const MIB = 1024 * 1024;
/**
 * Commands are rejected while the disk has less free space than this, which holds a snapshot and a log segment
 * with documents of the maximum size.
 */
const DISK_RESERVE_BYTES = 10 * MIB;
/**
 * Shorter than the defaults of the log, so that a lost leader is replaced sooner: entry VMs need a leader for
 * every plan.
 */
const HEARTBEAT_MS = 80;
const ELECTION_TIMEOUT_MS = 420;
/**
 * A VM that is not at its first start takes part in founding a group only with this many others: fewer may have lost
 * their disks together after the group was founded.
 */
const MIN_FOUNDERS_AFTER_FIRST_START = 3;
const MAX_DOCUMENT_BYTES = 8 * MIB;
/** Share of the link that configurations and endpoint lists may use; heartbeats and plans need the rest. */
const BROADCAST_LINK_SHARE = 0.5;
/** Log size from which a snapshot replaces the log. */
const SNAPSHOT_MIN_LOG_BYTES = 2 * MIB;

/** Settings of a control VM that stores the routing document. */
export interface IDocumentProcessOptions {
  /** Id of this member; must not change for a given address. */
  readonly id: string;
  /** `ip:port` on which the VM accepts peers and entry VMs. */
  readonly address: string;
  readonly dataDir: string;
  /** Size in bytes of the file system that holds the data folder. */
  readonly diskBytes: number;
  /** True at the first start of the whole system, when no group can exist yet. */
  readonly isFirstStart: boolean;
  /** Rate of the VM's network link. */
  readonly linkBytesPerMs: number;
  /** Returns the `ip:port` of the control VMs in the current settings. */
  readonly seeds: () => readonly string[];
}

/** Dependencies of a control VM. */
export interface IDocumentProcessDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  readonly stageCaller: batching.IStageCaller;
  /** Rate limits that responses to the stage caller state. */
  readonly rateLimitTable: rateLimitTable.RateLimitTable;
  /** Endpoints that are cold, as the stage caller and the endpoint list say. */
  readonly cold: coldEndpoints.ColdEndpoints;
  /** Rejections in a second that endpoints bear, as responses to the stage caller state them. */
  readonly rejectionLimits: rateLimitTable.RateLimitTable;
  /** Checks whether engines that fail requests have crashed. */
  readonly crashConfirmer: blame.ICrashConfirmer;
  /** Limits of second engines beside late ones; undefined if there are none. */
  readonly hedgeLimits?: hedging.IHedgeLimits | undefined;
  readonly source: endpointPoller.IEndpointSource;
  /** Receives the addresses of entry VMs that connect this VM to endpoints. */
  readonly onRelays: (relays: readonly string[]) => void;
  /** Parses the text of a routing document; throws when it is invalid. */
  readonly parse: (text: string) => routing.IRoutingTable;
}

/** A control VM: stores the routing document in the replicated log and plans requests while it is the leader. */
export class DocumentProcess implements commonTypes.IDisposable {
  private constructor(
    private readonly disposables: disposableStore.DisposableStore,
    /** Submits and reads the routing document. */
    readonly documents: documentService.DocumentService,
    /** Takes availability zones out of service and returns them. */
    readonly zones: zoneService.ZoneService,
    /** The replicated log. */
    readonly log: replica.Replica,
    /** Serves the connected entry VMs and reports whether this VM is the coordinator. */
    readonly feed: feedServer.FeedServer,
    private readonly directory: endpointDirectory.EndpointDirectory,
    private readonly disk: closableDisk.ClosableDisk,
  ) {}

  /**
   * Opens the data folder, binds the address and joins the group. Calls `onRemoved` when the data folder belongs to
   * a member that was removed from the group.
   *
   * @throws the errors of Replica.open; Error when the address cannot be bound.
   */
  static async start(
    options: IDocumentProcessOptions,
    dependencies: IDocumentProcessDependencies,
    onRemoved: () => void,
  ): Promise<DocumentProcess> {
    const disposables = new disposableStore.DisposableStore();
    const { clock, random, logService } = dependencies;
    const server = new grpc.Server({
      ...silenceOptions.SILENCE_SERVER_OPTIONS,
      'grpc.max_receive_message_length': 2 * MAX_DOCUMENT_BYTES,
      'grpc.max_send_message_length': 2 * MAX_DOCUMENT_BYTES,
    });
    disposables.add({ dispose: () => server.forceShutdown() });
    const streams = disposables.add(new streamVersions.StreamVersions(clock));
    const shared = disposables.add(new sharedState.SharedState(streams));
    shared.onUnknownRecord((index) => logService.warn('log-record-unknown', { index }));
    const state = shared.document;
    const transport = new grpcPeerTransport.GrpcPeerTransport(
      server,
      grpc.credentials.createInsecure(),
      clock,
    );
    disposables.add(transport);
    const disk = new closableDisk.ClosableDisk(new privateDisk.PrivateDisk(options.diskBytes));
    const log = await openLog(options, dependencies, shared, transport, disk);
    disposables.add(log);
    const directory = new endpointDirectory.EndpointDirectory();
    const { stageCaller: caller, metrics, rateLimitTable: limits, crashConfirmer } = dependencies;
    const { rejectionLimits, cold } = dependencies;
    disposables.add(cold.follow(directory));
    const rooms = disposables.add(
      new roomKeeper.RoomKeeper({ clock, directory, limits: rejectionLimits, logService, metrics }),
    );
    const crashes = new blameTable.BlameTable({ clock, logService, metrics });
    const rateLimiter = new sharedRateLimiter.SharedRateLimiter(
      new endpointRates.EndpointRates([limits, cold]),
      clock,
      () => log.status().role === 'leader',
    );
    disposables.add(
      log.onLeadership((leads) => {
        if (leads) {
          rateLimiter.reset();
          rooms.reset();
          streams.renewLogged();
        }
      }),
    );
    directory.onChange(({ endpoints }) => {
      const ids = new Set(endpoints.map(({ id }) => id));
      [limits, rejectionLimits].forEach((table) => table.retain(ids));
    });
    const { hedgeLimits } = dependencies;
    const coordinator = disposables.add(
      new coordinators.Coordinator({
        clock,
        caller,
        directory,
        rateLimiter,
        rooms,
        rejectionLimits,
        streams,
        blameTable: crashes,
        crashConfirmer,
        admitsTrials: true,
        hedgePolicy: hedgeLimits && new hedgePolicy.HedgePolicy(hedgeLimits, clock),
        logService,
        metrics,
      }),
    );
    followDocument(state, coordinator, dependencies);
    const zoneGate = new zoneFollower.ZoneFollower(directory, logService, metrics);
    shared.zones.onChange((closed) => zoneGate.follow(closed));
    zoneGate.follow(shared.zones.current);
    const feed = disposables.add(
      new feedServer.FeedServer(server, {
        log,
        document: state,
        directory,
        coordinator,
        zones: shared.zones,
        rateLimitTable: limits,
        rateLimiter,
        cold,
        blameTable: crashes,
        rejectionLimits,
        roomKeeper: rooms,
        clock,
        random,
        logService,
        metrics,
        broadcastBytesPerMs: options.linkBytesPerMs * BROADCAST_LINK_SHARE,
        onRelays: dependencies.onRelays,
      }),
    );
    const recorder = disposables.add(
      new streamRecorder.StreamRecorder({
        clock,
        log,
        streams,
        logService,
        metrics,
        isActive: () => log.status().role === 'leader' && state.current !== undefined,
      }),
    );
    recorder.start();
    const { address, seeds } = options;
    const group = { log, clock, logService, address, seeds };
    disposables.add(new groupManager.GroupManager(server, group, onRemoved));
    disposables.add(new groupMonitor.GroupMonitor({ log, clock, logService, metrics }));
    disposables.add(
      new endpointPoller.EndpointPoller(dependencies.source, directory, {
        interval: ENDPOINT_POLL_INTERVAL_MS,
        isActive: () => feed.isCoordinator,
        clock,
        random,
        logService,
      }),
    );
    await bind(server, address);
    const documents = new documentService.DocumentService(log, state, logService);
    const zones = new zoneService.ZoneService(log, shared.zones, logService);
    return new DocumentProcess(disposables, documents, zones, log, feed, directory, disk);
  }

  /** Whether the zone of an endpoint's address is in service; true for an address that is not in the list. */
  isOpenAddress(address: string): boolean {
    return this.directory.isOpenAddress(address);
  }

  /** @inheritdoc */
  dispose(): void {
    this.disposables.dispose();
  }

  /** Disposes, and resolves once nothing of this control VM reaches its data folder any more. */
  async close(): Promise<void> {
    this.dispose();
    await this.disk.close();
  }
}

function openLog(
  options: IDocumentProcessOptions,
  dependencies: IDocumentProcessDependencies,
  stateMachine: sharedState.SharedState,
  transport: grpcPeerTransport.GrpcPeerTransport,
  closable: closableDisk.ClosableDisk,
): Promise<replica.Replica> {
  const { clock, random, logService } = dependencies;
  const { id, dataDir, isFirstStart } = options;
  const members = foundingMembers(options);
  const tuning = {
    maxCommandBytes: MAX_DOCUMENT_BYTES,
    maxPendingBytes: 4 * MAX_DOCUMENT_BYTES,
    diskReserveBytes: DISK_RESERVE_BYTES,
    heartbeatMs: HEARTBEAT_MS,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
    snapshotMinLogBytes: SNAPSHOT_MIN_LOG_BYTES,
  };
  const disk = new retryOnFullDisk.RetryOnFullDisk(closable, clock, logService);
  return replica.Replica.open(
    { id, dataDir, members, isFirstStart, tuning },
    { clock, random, logService, stateMachine, transport, disk },
  );
}

/** The seeds, unless this VM is none of them or they are too few to found a group after the first start. */
function foundingMembers(
  options: IDocumentProcessOptions,
): readonly controlTypes.IFoundingMember[] {
  const seeds = options.seeds();
  const isEnough = options.isFirstStart || seeds.length >= MIN_FOUNDERS_AFTER_FIRST_START;
  return seeds.includes(options.address) && isEnough
    ? seeds.map((address) => ({ id: address, address }))
    : [];
}

function followDocument(
  state: documentState.DocumentState,
  coordinator: coordinators.Coordinator,
  dependencies: IDocumentProcessDependencies,
): void {
  const applyDocument = ({ version, text }: documentState.IDocument): void => {
    try {
      const table = dependencies.parse(text);
      dependencies.cold.configure(table.services);
      coordinator.configure(table);
      dependencies.logService.info('config-in-force', { version });
    } catch (err) {
      dependencies.logService.error('config-unreadable', {
        version,
        reason: (err as Error).message,
      });
    }
  };
  state.onChange(applyDocument);
  if (state.current !== undefined) {
    applyDocument(state.current);
  }
}

function bind(server: grpc.Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (err) => {
      if (err === null) {
        resolve();
      } else {
        reject(err);
      }
    });
  });
}
