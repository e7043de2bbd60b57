/** Contracts of membership and of the exchange among entry VMs. */
import type * as commonTypes from '../common/Types.js';

/** One VM of the platform's list. */
export interface IListedVm {
  readonly name: string;
  /** `ip:port`. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of VMs; it lags. */
export interface IPlatformList {
  /** Grows with each change of the list. */
  readonly generation: number;
  readonly vms: readonly IListedVm[];
}

/** Reads the platform's list. */
export interface IPlatformListClient {
  /** The list as the platform shows it now; rejects when it cannot be had. */
  read(signal: AbortSignal): Promise<IPlatformList>;
}

/** What one entry VM tells another of an endpoint. */
export interface IMemberHint {
  readonly endpoint: string;
  readonly generation: number;
  readonly leaving: boolean;
  /** Empty when it is not known. */
  readonly incarnation: string;
}

/** Work that a workspace has in a pool at one entry VM. */
export interface IUsage {
  readonly pool: string;
  readonly workspace: string;
  readonly patient: boolean;
  /** Milliseconds of one place served in each second. */
  readonly rate: number;
}

/** Another entry VM. */
export interface IPeer {
  readonly id: string;
  /** `ip:port` of its exchange. */
  readonly address: string;
}

/** Carries digests among entry VMs. */
export interface IExchangeTransport extends commonTypes.IDisposable {
  /** Sends a digest and resolves with the peer's; rejects when it is away. */
  exchange(peer: IPeer, digest: Uint8Array, timeout: commonTypes.Millis): Promise<Uint8Array>;
  /** Answers digests of peers. */
  serve(handler: (digest: Uint8Array) => Uint8Array): void;
}

/** Options of membership and exchange. */
export interface IMembershipOptions {
  /** Time between two regular exchanges of one VM. */
  readonly intervalMs: commonTypes.Millis;
  /** Longest wait for a peer. */
  readonly timeoutMs: commonTypes.Millis;
  /** Peers that one VM talks to. */
  readonly neighbours: number;
  /** Longest encoded digest. */
  readonly maxDigestBytes: number;
  /** News kept to tell again, of each sort. */
  readonly maxPendingUpdates: number;
  /** Times that one piece of news is told again in regular exchanges. */
  readonly retransmits: number;
  /** Reads of the platform's list a second by all entry VMs together. */
  readonly listReadsPerSecond: number;
  /** Part of the known VMs that a new list may lack before it is distrusted, 0 to 1. */
  readonly maxMissingRatio: number;
}

/** The one table of defaults. */
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
