import * as lruCache from 'lru-cache';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as crashTracker from '../entry/stage/CrashTracker.js';
import * as digests from './Digest.js';
import type * as membershipTable from './MembershipTable.js';
import * as retransmitQueue from './RetransmitQueue.js';
import * as neighbours from './Neighbours.js';
import type * as types from './Types.js';

/** Maximum number of usages, one per pool and workspace, before a digest is reduced to its size limit. */
const MAX_USAGES = 24;
/** Maximum number of blames remembered to detect duplicates. */
const MAX_SEEN_BLAMES = 20_000;

/** State that the exchange reads from this VM, and callbacks for what it receives from peers. */
export interface IExchangeSources {
  readonly table: membershipTable.MembershipTable;
  /** Returns the version of the newest configuration in force at this VM; 0 before the first. */
  readonly configVersion: () => number;
  /** Called with the version of the configuration in force at a peer. */
  readonly onPeerVersion: (version: number) => void;
  /** Called when a peer blames a request for crashes, or clears it of them. */
  readonly onBlame: (hint: crashTracker.IBlameHint) => void;
  /** Returns the work served by this VM for each pool and workspace, the largest first. */
  readonly usages: () => readonly types.IUsage[];
  /** Called once per interval with the work of all other VMs, estimated from the usages of the neighbours. */
  readonly onUsages: (usages: readonly types.IUsage[]) => void;
}

/** Traffic counters of one exchange since its start, as reported on the capacity page. */
export interface IExchangeTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly messages: number;
}

/**
 * Gossip among entry VMs. Once per interval each VM swaps digests with one of a small fixed set of neighbours.
 * An update is sent to all neighbours immediately, and each VM forwards it when it receives it for the first
 * time. Regular traffic is therefore four messages of limited size per interval, regardless of the number of VMs,
 * and an update needs as many hops as the diameter of the neighbour graph. One task runs the regular exchange,
 * and each update that is broadcast has a task of its own.
 */
export class PeerExchange implements crashTracker.IBlameAnnouncer, commonTypes.IDisposable {
  private readonly controller = new AbortController();

  private readonly members: retransmitQueue.RetransmitQueue<types.IMemberHint>;

  private readonly blames: retransmitQueue.RetransmitQueue<crashTracker.IBlameHint>;

  /** Blames that were received or announced, by fingerprint, crash and whether they are cleared. */
  private readonly seenBlames = new lruCache.LRUCache<string, true>({ max: MAX_SEEN_BLAMES });

  private readonly peerUsages = new Map<string, readonly types.IUsage[]>();

  private peers: readonly types.IPeer[] = [];

  private selectedPeers: readonly types.IPeer[] = [];

  private exchangeCount = 0;

  private sentBytes = 0;

  private receivedBytes = 0;

  private messages = 0;

  /** Starts the exchange of the VM with the id `self`. */
  constructor(
    private readonly self: string,
    private readonly options: types.IMembershipOptions,
    private readonly transport: types.IExchangeTransport,
    private readonly sources: IExchangeSources,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly metrics: commonServices.IMetricsService,
  ) {
    this.members = new retransmitQueue.RetransmitQueue(
      options.maxPendingUpdates,
      options.retransmits,
    );
    this.blames = new retransmitQueue.RetransmitQueue(
      options.maxPendingUpdates,
      options.retransmits,
    );
    transport.serve((bytes) => this.answer(bytes));
    sources.table.onChange((hint) => {
      void this.broadcastMember(hint);
    });
    void this.loop();
  }

  /** Number of known entry VMs, including this one. */
  get entries(): number {
    return this.peers.length + 1;
  }

  /** Traffic since the start. */
  get traffic(): IExchangeTraffic {
    const { sentBytes, receivedBytes, messages } = this;
    return { sentBytes, receivedBytes, messages };
  }

  /** Replaces the known entry VMs. The same peers always give the same neighbours. */
  updatePeers(peers: readonly types.IPeer[]): void {
    this.peers = peers.filter((peer) => peer.id !== this.self);
    this.selectedPeers = neighbours.chooseNeighbours(
      this.self,
      this.peers,
      this.options.neighbours,
    );
    const ids = new Set(this.peers.map((peer) => peer.id));
    [...this.peerUsages.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.peerUsages.delete(id));
  }

  /** @inheritdoc */
  async announce(hints: readonly crashTracker.IBlameHint[]): Promise<void> {
    hints.forEach((hint) => {
      this.markSeen(hint);
      this.blames.add(hint.fingerprint, hint);
    });
    await this.broadcast({ ...this.emptyDigest(), blames: hints });
  }

  /** @inheritdoc */
  dispose(): void {
    this.controller.abort();
    this.transport.dispose();
  }

  private async loop(): Promise<void> {
    const { signal } = this.controller;
    while (!signal.aborted) {
      await this.pause(signal);
      if (!signal.aborted) {
        await this.exchangeOnce();
        this.reportUsages();
      }
    }
  }

  private async pause(signal: AbortSignal): Promise<void> {
    try {
      await this.clock.sleep(this.options.intervalMs * (0.9 + 0.2 * this.random.next()), signal);
    } catch {
      // The exchange was disposed, so the loop ends.
    }
  }

  private async exchangeOnce(): Promise<void> {
    const peer = this.selectedPeers[this.exchangeCount % Math.max(1, this.selectedPeers.length)];
    this.exchangeCount += 1;
    if (peer) {
      await this.send(peer, this.regularDigest());
    }
  }

  private async broadcastMember(hint: types.IMemberHint): Promise<void> {
    this.members.add(hint.endpoint, hint);
    await this.broadcast({ ...this.emptyDigest(), members: [hint] });
  }

  /** Sends an update to all neighbours in parallel. */
  private async broadcast(digest: digests.IDigest): Promise<void> {
    const { bytes } = digests.encodeDigest(digest, this.options.maxDigestBytes);
    await Promise.all(this.selectedPeers.map((peer) => this.send(peer, bytes)));
  }

  private async send(peer: types.IPeer, bytes: Uint8Array): Promise<void> {
    this.countSent(bytes);
    try {
      const answer = await this.transport.exchange(peer, bytes, this.options.timeoutMs);
      this.countReceived(answer);
      this.applyDigest(digests.decodeDigest(answer));
    } catch {
      this.metrics.count('peer_exchange_failed', {});
    }
  }

  private answer(bytes: Uint8Array): Uint8Array {
    this.countReceived(bytes);
    const digest = digests.decodeDigest(bytes);
    this.applyDigest(digest);
    // A broadcast update gets an empty digest in response; only regular exchanges swap digests.
    const isRegular =
      digest.usages.length > 0 || digest.members.length + digest.blames.length === 0;
    const answer = isRegular ? this.regularDigest() : this.encodeEmpty();
    this.countSent(answer);
    return answer;
  }

  private regularDigest(): Uint8Array {
    const all: digests.IDigest = {
      ...this.emptyDigest(),
      members: this.members.peek(this.options.maxPendingUpdates),
      blames: this.blames.peek(this.options.maxPendingUpdates),
      usages: this.sources.usages().slice(0, MAX_USAGES),
    };
    const { bytes, digest } = digests.encodeDigest(all, this.options.maxDigestBytes);
    this.members.markSent(digest.members);
    this.blames.markSent(digest.blames);
    return bytes;
  }

  private encodeEmpty(): Uint8Array {
    return digests.encodeDigest(this.emptyDigest(), this.options.maxDigestBytes).bytes;
  }

  private emptyDigest(): digests.IDigest {
    const configVersion = this.sources.configVersion();
    return { from: this.self, configVersion, members: [], blames: [], usages: [] };
  }

  private applyDigest(digest: digests.IDigest): void {
    if (digest.configVersion > 0) {
      this.sources.onPeerVersion(digest.configVersion);
    }
    // A hint that changes the table fires its onChange event, which forwards the hint.
    digest.members.forEach((hint) => this.sources.table.applyHint(hint));
    digest.blames.forEach((hint) => this.applyBlame(hint));
    if (digest.usages.length > 0 && this.peers.some((peer) => peer.id === digest.from)) {
      this.peerUsages.set(digest.from, digest.usages);
    }
  }

  private applyBlame(hint: crashTracker.IBlameHint): void {
    if (this.markSeen(hint)) {
      this.sources.onBlame(hint);
      void this.announce([hint]);
    }
  }

  /** Records the hint and returns whether any part of it is new, so that no blame is forwarded twice. */
  private markSeen(hint: crashTracker.IBlameHint): boolean {
    const blameKeys = hint.crashes.map((crash) => `${hint.fingerprint} ${crash} ${hint.cleared}`);
    const newKeys = blameKeys.filter((blameKey) => !this.seenBlames.has(blameKey));
    newKeys.forEach((blameKey) => this.seenBlames.set(blameKey, true));
    return newKeys.length > 0;
  }

  /** Scales the usages received from neighbours to all other VMs and reports the estimate. */
  private reportUsages(): void {
    const scale = this.peerUsages.size === 0 ? 0 : this.peers.length / this.peerUsages.size;
    const usages = [...this.peerUsages.values()].flat();
    this.sources.onUsages(usages.map((usage) => ({ ...usage, rate: usage.rate * scale })));
  }

  private countSent(bytes: Uint8Array): void {
    this.sentBytes += bytes.length;
    this.messages += 1;
  }

  private countReceived(bytes: Uint8Array): void {
    this.receivedBytes += bytes.length;
  }
}
