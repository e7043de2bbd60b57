/** Types of endpoint membership and of the gossip exchange among entry VMs. */
import type * as commonTypes from '../common/Types.js';

/** One VM in the platform's list. */
export interface IListedVm {
  readonly name: string;
  /** `ip:port`. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of VMs, which lags behind the actual state. */
export interface IPlatformList {
  /** Increases with each change of the list. */
  readonly generation: number;
  readonly vms: readonly IListedVm[];
  /** Number of entries that are left out because they are invalid. */
  readonly invalid?: number;
}

/** Reads the platform's list of VMs. */
export interface IPlatformListClient {
  /** Resolves with the current list of the platform; rejects when it cannot be read. */
  read(signal: AbortSignal): Promise<IPlatformList>;
}

/** State of an endpoint that one entry VM sends to another. */
export interface IMemberHint {
  readonly endpoint: string;
  /** Generation of the platform's list that reported the state. */
  readonly generation: number;
  readonly leaving: boolean;
  /** Empty when unknown. */
  readonly incarnation: string;
}

/** Work that one entry VM serves for a workspace in a pool. */
export interface IUsage {
  readonly pool: string;
  readonly workspace: string;
  readonly patient: boolean;
  /** Slot time used, in milliseconds per second. */
  readonly rate: number;
}

/** Another entry VM that takes part in the exchange. */
export interface IPeer {
  readonly id: string;
  /** `ip:port` of the exchange service of the peer. */
  readonly address: string;
}

/** Transports digests between entry VMs. */
export interface IExchangeTransport extends commonTypes.IDisposable {
  /** Sends a digest and resolves with the digest of the peer; rejects when the peer is unreachable. */
  exchange(peer: IPeer, digest: Uint8Array, timeout: commonTypes.Millis): Promise<Uint8Array>;
  /** Sets the handler that answers digests received from peers. */
  serve(handler: (digest: Uint8Array) => Uint8Array): void;
}

/** Options of membership and of the exchange. */
export interface IMembershipOptions {
  /** Mean time between two regular exchanges started by one VM. */
  readonly intervalMs: commonTypes.Millis;
  /** Timeout of one exchange with a peer. */
  readonly timeoutMs: commonTypes.Millis;
  /** Maximum number of peers with which one VM starts exchanges. */
  readonly neighbours: number;
  /** Maximum size of an encoded digest. */
  readonly maxDigestBytes: number;
  /** Maximum number of updates queued for retransmission, for each kind of update. */
  readonly maxPendingUpdates: number;
  /** Number of regular exchanges in which each update is sent again. */
  readonly retransmits: number;
  /** Reads of the platform's list per second by all entry VMs together. */
  readonly listReadsPerSecond: number;
  /** Share of the known VMs (0 to 1) that a new list may lack; a list that lacks more is not trusted. */
  readonly maxMissingRatio: number;
}

/** Default options. */
export const DEFAULT_MEMBERSHIP_OPTIONS: IMembershipOptions = {
  intervalMs: 1_000,
  timeoutMs: 500,
  neighbours: 12,
  maxDigestBytes: 1_000,
  maxPendingUpdates: 64,
  retransmits: 6,
  listReadsPerSecond: 3,
  maxMissingRatio: 0.5,
};
