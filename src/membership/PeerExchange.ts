import * as lruCache from 'lru-cache';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as crashTracker from '../entry/stage/CrashTracker.js';
import * as digests from './Digest.js';
import type * as membershipTable from './MembershipTable.js';
import * as newsList from './NewsList.js';
import * as neighbours from './Neighbours.js';
import type * as types from './Types.js';

/** Usages of one pool and workspace that a digest may carry before it is cut to its bytes. */
const MAX_USAGES = 24;
const MAX_SEEN = 20_000;

/** What the exchange reads of this VM and tells it. */
export interface IExchangeSources {
  readonly table: membershipTable.MembershipTable;
  /** Newest configuration in force here; 0 before the first. */
  readonly configVersion: () => number;
  /** A peer has a configuration of this version in force. */
  readonly onPeerVersion: (version: number) => void;
  /** A peer blames a request, or clears it. */
  readonly onBlame: (hint: crashTracker.IBlameHint) => void;
  /** Work served here by pool and workspace, the largest first. */
  readonly usages: () => readonly types.IUsage[];
  /** Work that the other VMs serve, estimated from the neighbours, once an interval. */
  readonly onUsages: (usages: readonly types.IUsage[]) => void;
}

/** Counters of one exchange, for the page on capacity. */
export interface IExchangeTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly messages: number;
}

/**
 * The exchange among entry VMs. Once an interval each VM swaps digests with one of a fixed few neighbours;
 * news goes to all neighbours at once and each VM passes it on the first time that it hears it. So regular
 * traffic is four bounded messages an interval whatever the number of VMs, and news takes as many hops as
 * the graph of neighbours is wide. One task for the regular exchange, one for each piece of news.
 */
export class PeerExchange implements crashTracker.IBlameAnnouncer, commonTypes.IDisposable {
  private readonly controller = new AbortController();

  private readonly members: newsList.NewsList<types.IMemberHint>;

  private readonly blames: newsList.NewsList<crashTracker.IBlameHint>;

  /** Words of blame that were heard or said. */
  private readonly seen = new lruCache.LRUCache<string, true>({ max: MAX_SEEN });

  private readonly heard = new Map<string, readonly types.IUsage[]>();

  private peers: readonly types.IPeer[] = [];

  private chosen: readonly types.IPeer[] = [];

  private turn = 0;

  private sentBytes = 0;

  private receivedBytes = 0;

  private messages = 0;

  /** Starts to exchange for the VM `self`. */
  constructor(
    private readonly self: string,
    private readonly options: types.IMembershipOptions,
    private readonly transport: types.IExchangeTransport,
    private readonly sources: IExchangeSources,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly metrics: commonServices.IMetricsService,
  ) {
    this.members = new newsList.NewsList(options.maxNews, options.retells);
    this.blames = new newsList.NewsList(options.maxNews, options.retells);
    transport.serve((bytes) => this.answer(bytes));
    sources.table.onChange((hint) => {
      void this.spreadMember(hint);
    });
    void this.loop();
  }

  /** Entry VMs known, this one included. */
  get entries(): number {
    return this.peers.length + 1;
  }

  /** Traffic so far. */
  get traffic(): IExchangeTraffic {
    const { sentBytes, receivedBytes, messages } = this;
    return { sentBytes, receivedBytes, messages };
  }

  /** Takes the other entry VMs; the neighbours among them are the same for the same peers. */
  updatePeers(peers: readonly types.IPeer[]): void {
    this.peers = peers.filter((peer) => peer.id !== this.self);
    this.chosen = neighbours.chooseNeighbours(this.self, this.peers, this.options.neighbours);
    const ids = new Set(this.peers.map((peer) => peer.id));
    [...this.heard.keys()].filter((id) => !ids.has(id)).forEach((id) => this.heard.delete(id));
  }

  /** @inheritdoc */
  async announce(hints: readonly crashTracker.IBlameHint[]): Promise<void> {
    hints.forEach((hint) => {
      this.markSeen(hint);
      this.blames.add(hint.fingerprint, hint);
    });
    await this.spread({ ...this.emptyDigest(), blames: hints });
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
        this.shareUsages();
      }
    }
  }

  private async pause(signal: AbortSignal): Promise<void> {
    try {
      await this.clock.sleep(this.options.intervalMs * (0.9 + 0.2 * this.random.next()), signal);
    } catch {
      // Disposed: the loop ends.
    }
  }

  private async exchangeOnce(): Promise<void> {
    const peer = this.chosen[this.turn % Math.max(1, this.chosen.length)];
    this.turn += 1;
    if (peer) {
      await this.send(peer, this.regularDigest());
    }
  }

  private async spreadMember(hint: types.IMemberHint): Promise<void> {
    this.members.add(hint.endpoint, hint);
    await this.spread({ ...this.emptyDigest(), members: [hint] });
  }

  /** Sends news to all neighbours at once. */
  private async spread(digest: digests.IDigest): Promise<void> {
    const { bytes } = digests.encodeDigest(digest, this.options.maxDigestBytes);
    await Promise.all(this.chosen.map((peer) => this.send(peer, bytes)));
  }

  private async send(peer: types.IPeer, bytes: Uint8Array): Promise<void> {
    this.countSent(bytes);
    try {
      const answer = await this.transport.exchange(peer, bytes, this.options.timeoutMs);
      this.countReceived(answer);
      this.take(digests.decodeDigest(answer));
    } catch {
      this.metrics.count('peer_exchange_failed', {});
    }
  }

  private answer(bytes: Uint8Array): Uint8Array {
    this.countReceived(bytes);
    const digest = digests.decodeDigest(bytes);
    this.take(digest);
    // News alone is answered by an empty digest: only regular exchanges swap.
    const regular = digest.usages.length > 0 || digest.members.length + digest.blames.length === 0;
    const answer = regular ? this.regularDigest() : this.encodeEmpty();
    this.countSent(answer);
    return answer;
  }

  private regularDigest(): Uint8Array {
    const all: digests.IDigest = {
      ...this.emptyDigest(),
      members: this.members.peek(this.options.maxNews),
      blames: this.blames.peek(this.options.maxNews),
      usages: this.sources.usages().slice(0, MAX_USAGES),
    };
    const { bytes, digest } = digests.encodeDigest(all, this.options.maxDigestBytes);
    this.members.markTold(digest.members);
    this.blames.markTold(digest.blames);
    return bytes;
  }

  private encodeEmpty(): Uint8Array {
    return digests.encodeDigest(this.emptyDigest(), this.options.maxDigestBytes).bytes;
  }

  private emptyDigest(): digests.IDigest {
    const configVersion = this.sources.configVersion();
    return { from: this.self, configVersion, members: [], blames: [], usages: [] };
  }

  private take(digest: digests.IDigest): void {
    if (digest.configVersion > 0) {
      this.sources.onPeerVersion(digest.configVersion);
    }
    // What is news to the table fires its onChange, which passes it on.
    digest.members.forEach((hint) => this.sources.table.applyHint(hint));
    digest.blames.forEach((hint) => this.takeBlame(hint));
    if (digest.usages.length > 0 && this.peers.some((peer) => peer.id === digest.from)) {
      this.heard.set(digest.from, digest.usages);
    }
  }

  private takeBlame(hint: crashTracker.IBlameHint): void {
    if (this.markSeen(hint)) {
      this.sources.onBlame(hint);
      void this.announce([hint]);
    }
  }

  /** Whether the hint says anything new; what was said once is never passed on again. */
  private markSeen(hint: crashTracker.IBlameHint): boolean {
    const words = hint.crashes.map((crash) => `${hint.fingerprint} ${crash} ${hint.cleared}`);
    const fresh = words.filter((word) => !this.seen.has(word));
    fresh.forEach((word) => this.seen.set(word, true));
    return fresh.length > 0;
  }

  /** The neighbours' usage stands for that of all other VMs. */
  private shareUsages(): void {
    const scale = this.heard.size === 0 ? 0 : this.peers.length / this.heard.size;
    const usages = [...this.heard.values()].flat();
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
