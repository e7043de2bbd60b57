import * as grpc from '@grpc/grpc-js';
import * as disposableStore from '../common/DisposableStore.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as batching from '../batching/Types.js';
import * as coordinators from '../coordination/Coordinator.js';
import * as feedServer from '../coordination/FeedServer.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import * as endpointPoller from '../routing/EndpointPoller.js';
import type * as routing from '../routing/Types.js';
import * as documentService from './document/DocumentService.js';
import * as documentState from './document/DocumentState.js';
import * as groupManager from './group/GroupManager.js';
import * as privateDisk from './log/PrivateDisk.js';
import * as retryOnFullDisk from './log/RetryOnFullDisk.js';
import * as grpcPeerTransport from './replication/GrpcPeerTransport.js';
import * as replica from './replication/Replica.js';

/** Between two readings of the endpoints' list; a leaving endpoint must be known well within its drain time. */
const LIST_INTERVAL_MS = 900;
const MIB = 1024 * 1024;
/** Commands are refused while the disk has less room than this: a snapshot and a segment of the largest documents. */
const DISK_RESERVE_BYTES = 10 * MIB;
/** Entry VMs wait for a leader with every plan, so a lost one is replaced sooner than by default. */
const HEARTBEAT_MS = 80;
const ELECTION_TIMEOUT_MS = 420;
const MAX_DOCUMENT_BYTES = 8 * MIB;
/** A log this long is replaced by a snapshot. */
const SNAPSHOT_LOG_BYTES = 2 * MIB;

/** Settings of a control VM that keeps the routing document. */
export interface IDocumentProcessOptions {
  /** The same for ever at one address. */
  readonly id: string;
  /** `ip:port` for peers and entry VMs. */
  readonly address: string;
  readonly dataDir: string;
  /** Bytes of the data folder's file system. */
  readonly diskBytes: number;
  /** Control VMs that found the group, this one included; empty on one that joins. */
  readonly founders: readonly string[];
  /** Control VMs that the settings name now. */
  readonly seeds: () => readonly string[];
}

/** What a control VM works with. */
export interface IDocumentProcessNeeds {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  readonly stageCaller: batching.IStageCaller;
  readonly source: endpointPoller.IEndpointSource;
  /** Reads a document's text; throws for one that is invalid. */
  readonly parse: (text: string) => routing.IRoutingTable;
}

/** A control VM: keeps the routing document in the replicated log, and plans requests while it leads. */
export class DocumentProcess implements commonTypes.IDisposable {
  private constructor(
    private readonly owned: disposableStore.DisposableStore,
    /** Submits and reads the document. */
    readonly documents: documentService.DocumentService,
    /** The replicated log. */
    readonly log: replica.Replica,
    /** Entry VMs that are connected, and the role. */
    readonly feed: feedServer.FeedServer,
  ) {}

  /**
   * Opens the data folder, listens and takes part in the group. `onForeign` is called when the folder
   * belongs to a member that was removed.
   */
  static async start(
    options: IDocumentProcessOptions,
    needs: IDocumentProcessNeeds,
    onForeign: () => void,
  ): Promise<DocumentProcess> {
    const owned = new disposableStore.DisposableStore();
    const { clock, random, logService } = needs;
    const server = new grpc.Server({
      'grpc.max_receive_message_length': 2 * MAX_DOCUMENT_BYTES,
      'grpc.max_send_message_length': 2 * MAX_DOCUMENT_BYTES,
    });
    owned.add({ dispose: () => server.forceShutdown() });
    const state = owned.add(new documentState.DocumentState());
    const transport = new grpcPeerTransport.GrpcPeerTransport(
      server,
      grpc.credentials.createInsecure(),
      clock,
    );
    owned.add(transport);
    const log = await openLog(options, needs, state, transport);
    owned.add(log);
    const directory = new endpointDirectory.EndpointDirectory();
    const { stageCaller: caller, metrics } = needs;
    const coordinator = owned.add(
      new coordinators.Coordinator({ clock, caller, directory, logService, metrics }),
    );
    configure(state, coordinator, needs);
    const parts = { log, document: state, directory, coordinator, clock, logService };
    const feed = owned.add(new feedServer.FeedServer(server, parts));
    const { address, seeds, founders } = options;
    const isFounder = founders.length > 0;
    const group = { log, clock, logService, address, seeds, isFounder };
    owned.add(new groupManager.GroupManager(server, group, onForeign));
    owned.add(
      new endpointPoller.EndpointPoller(needs.source, directory, {
        interval: LIST_INTERVAL_MS,
        isActive: () => feed.isCoordinator,
        clock,
        random,
        logService,
      }),
    );
    await bind(server, address);
    const documents = new documentService.DocumentService(log, state, logService);
    return new DocumentProcess(owned, documents, log, feed);
  }

  /** @inheritdoc */
  dispose(): void {
    this.owned.dispose();
  }
}

function openLog(
  options: IDocumentProcessOptions,
  needs: IDocumentProcessNeeds,
  stateMachine: documentState.DocumentState,
  transport: grpcPeerTransport.GrpcPeerTransport,
): Promise<replica.Replica> {
  const { clock, random, logService } = needs;
  const members = options.founders.map((address) => ({ id: address, address }));
  const tuning = {
    maxCommandBytes: MAX_DOCUMENT_BYTES,
    maxPendingBytes: 4 * MAX_DOCUMENT_BYTES,
    diskReserveBytes: DISK_RESERVE_BYTES,
    heartbeatMs: HEARTBEAT_MS,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
    snapshotMinLogBytes: SNAPSHOT_LOG_BYTES,
  };
  const folder = new privateDisk.PrivateDisk(options.diskBytes);
  const disk = new retryOnFullDisk.RetryOnFullDisk(folder, clock, logService);
  return replica.Replica.open(
    { id: options.id, dataDir: options.dataDir, members, tuning },
    { clock, random, logService, stateMachine, transport, disk },
  );
}

function configure(
  state: documentState.DocumentState,
  coordinator: coordinators.Coordinator,
  needs: IDocumentProcessNeeds,
): void {
  const take = ({ version, text }: documentState.IDocument): void => {
    try {
      coordinator.configure(needs.parse(text));
      needs.logService.info('config-in-force', { version });
    } catch (err) {
      needs.logService.error('config-unreadable', { version, reason: (err as Error).message });
    }
  };
  state.onChange(take);
  if (state.current !== undefined) {
    take(state.current);
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
