import type * as grpc from '@grpc/grpc-js';
import type * as blameTable from '../../blame/BlameTable.js';
import * as blame from '../../blame/testing/Blame.js';
import * as seededRandom from '../../common/SeededRandom.js';
import * as rateLimitedLink from '../../common/testing/RateLimitedLink.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import type * as commonTypes from '../../common/Types.js';
import * as documentState from '../../control/document/DocumentState.js';
import type * as controlTypes from '../../control/Types.js';
import * as rateLimitTable from '../../ratelimit/RateLimitTable.js';
import * as sharedRateLimiter from '../../ratelimit/SharedRateLimiter.js';
import * as unlimitedRateLimiter from '../../ratelimit/testing/UnlimitedRateLimiter.js';
import * as roomKeeper from '../../room/RoomKeeper.js';
import * as endpointDirectory from '../../routing/EndpointDirectory.js';
import * as zoneState from '../../zones/ZoneState.js';
import * as coordinators from '../Coordinator.js';
import * as feedServer from '../FeedServer.js';
import type * as sessionStream from '../SessionStream.js';
import * as feedVm from './FeedVm.js';

/** Keeps the sessions open: the server closes those that are silent. */
const KEEPALIVE_INTERVAL_MS = 1000;

/** What a simulated control VM runs on. */
export interface IFeedFleetOptions {
  readonly clock: commonTypes.IClock;
  readonly log: controlTypes.IReplicatedLog;
  /** Rate of the control VM's link. */
  readonly linkBytesPerMs: number;
}

/** The feed of a control VM on a simulated link, with the entry VMs that are connected to it. */
export class FeedFleet implements commonTypes.IDisposable {
  readonly directory = new endpointDirectory.EndpointDirectory();

  readonly document = new documentState.DocumentState();

  readonly zones = new zoneState.ZoneState();

  readonly metrics = new recordingMetrics.RecordingMetricsService();

  readonly link: rateLimitedLink.RateLimitedLink;

  readonly vms: feedVm.FeedVm[] = [];

  /** Crashes of endpoints that the control VM knows. */
  readonly crashes: blameTable.BlameTable;

  private readonly feed: feedServer.FeedServer;

  private readonly coordinator: coordinators.Coordinator;

  private open: (stream: sessionStream.ServerStream) => void = () => {};

  private isDisposed = false;

  /** Starts the feed without entry VMs. */
  constructor(private readonly options: IFeedFleetOptions) {
    const { clock, linkBytesPerMs } = options;
    this.link = new rateLimitedLink.RateLimitedLink(clock, linkBytesPerMs);
    const server = {
      addService: (_: unknown, methods: { open: (stream: sessionStream.ServerStream) => void }) => {
        this.open = methods.open;
      },
    } as unknown as grpc.Server;
    const crashes = blame.makeBlame(clock);
    this.crashes = crashes.blameTable;
    this.coordinator = this.createCoordinator(crashes);
    this.feed = this.createFeed(server, crashes);
    this.keepAlive();
  }

  /** Connects an entry VM, anew if it was connected to this or another control VM. */
  connect(vm: feedVm.FeedVm): void {
    if (!this.vms.includes(vm)) {
      this.vms.push(vm);
    }
    this.open(vm.openStream(this.link));
    vm.greet();
  }

  /** Connects new entry VMs. */
  connectNew(count: number): void {
    Array.from({ length: count }, (_, index) => this.connect(new feedVm.FeedVm(`vm-${index}`)));
  }

  /** Messages, bytes and encodings of the kinds by which configurations and endpoint lists are sent. */
  get broadcastCost(): { messages: number; bytes: number; encodings: number } {
    const sum = (name: string): number =>
      ['update', 'document', 'endpoints']
        .map((kind) => this.metrics.counters.get(`${name}{kind=${kind}}`) ?? 0)
        .reduce((a, b) => a + b);
    return {
      messages: sum('feed_messages_sent'),
      bytes: sum('feed_bytes_sent'),
      encodings: sum('feed_messages_encoded'),
    };
  }

  /** @inheritdoc */
  dispose(): void {
    this.isDisposed = true;
    this.feed.dispose();
    this.coordinator.dispose();
  }

  private keepAlive(): void {
    this.vms.forEach((vm) => vm.send({ kind: 'alive' }));
    if (!this.isDisposed) {
      this.options.clock.setTimer(KEEPALIVE_INTERVAL_MS, () => this.keepAlive());
    }
  }

  private createCoordinator(crashes: ReturnType<typeof blame.makeBlame>): coordinators.Coordinator {
    return new coordinators.Coordinator({
      clock: this.options.clock,
      caller: { run: async () => [], free: async () => true },
      directory: this.directory,
      ...crashes,
      rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
      logService: new recordingLog.RecordingLogService(),
      metrics: this.metrics,
    });
  }

  private createFeed(
    server: grpc.Server,
    crashes: ReturnType<typeof blame.makeBlame>,
  ): feedServer.FeedServer {
    const { clock, log, linkBytesPerMs } = this.options;
    const { directory, document, zones, metrics, coordinator } = this;
    const logService = new recordingLog.RecordingLogService();
    const limits = new rateLimitTable.RateLimitTable({ clock, logService, metrics });
    return new feedServer.FeedServer(server, {
      log,
      document,
      zones,
      directory,
      coordinator,
      rateLimitTable: limits,
      blameTable: crashes.blameTable,
      rateLimiter: new sharedRateLimiter.SharedRateLimiter(limits, clock, () => true),
      rejectionLimits: limits,
      roomKeeper: new roomKeeper.RoomKeeper({ clock, directory, limits, logService, metrics }),
      clock,
      random: new seededRandom.SeededRandom(1),
      logService,
      metrics,
      broadcastBytesPerMs: linkBytesPerMs / 2,
      onRelays: () => {},
    });
  }
}
