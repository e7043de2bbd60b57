import type * as commonTypes from '../common/Types.js';
import * as feedConnection from './FeedConnection.js';
import type * as types from './Types.js';

/** Control VMs that one search asks: enough for one of them to be up, few enough for many VMs to search at once. */
const PROBES_PER_SEARCH = 2;
/** Time limit of one probe. */
const PROBE_TIMEOUT_MS = 1000;

/** Components and settings that a leader search uses. */
export interface ILeaderSearchDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  /** Returns the feed addresses (`ip:port`) in the current settings. */
  readonly seeds: () => readonly string[];
  /** Name of this VM, sent with each probe. */
  readonly vm: string;
}

/** A control VM that leads, or led, the group. */
export interface ILeader {
  /** Feed address (`ip:port`). */
  readonly address: string;
  readonly term: number;
}

/** Finds the control VM that leads the group. */
export class LeaderSearch {
  private memberAddresses: readonly string[] = [];

  private position: number;

  /** Creates a search that starts with the seed addresses only, at a random one. */
  constructor(private readonly deps: ILeaderSearchDependencies) {
    this.position = deps.random.nextInt(64);
  }

  /** Feed addresses of the group members that a control VM reported; empty before the first report. */
  get members(): readonly string[] {
    return this.memberAddresses;
  }

  /** Feed addresses of all known control VMs: group members, then seeds, without duplicates. */
  get knownAddresses(): readonly string[] {
    return [...new Set([...this.memberAddresses, ...this.deps.seeds()])];
  }

  /** Replaces the known members by those that a control VM reported; an empty list is ignored. */
  updateMembers(members: readonly string[]): void {
    this.memberAddresses = members.length > 0 ? members : this.memberAddresses;
  }

  /** Returns the next known control VM in turn, other than `excluded` if there are others; undefined if none is known. */
  nextAddress(excluded?: string): string | undefined {
    const others = this.knownAddresses.filter((address) => address !== excluded);
    const addresses = others.length > 0 ? others : this.knownAddresses;
    this.position += 1;
    return addresses[this.position % Math.max(1, addresses.length)];
  }

  /**
   * Asks PROBES_PER_SEARCH control VMs other than the one at `current`, if that is given. Resolves with the first leader of a term of at
   * least `minTerm` that one of them is or names; undefined if there is no such answer within PROBE_TIMEOUT_MS.
   */
  async find(current: string | undefined, minTerm: number): Promise<ILeader | undefined> {
    const candidates = Array.from({ length: PROBES_PER_SEARCH }, () => this.nextAddress(current));
    const addresses = new Set(
      candidates.filter((address) => address !== undefined && address !== current),
    );
    const probes = [...addresses].map((address) => this.probe(address as string, current, minTerm));
    return Promise.any(probes).catch(() => undefined);
  }

  /** Resolves with the leader that the control VM at `address` is or names; rejects otherwise. */
  private probe(address: string, current: string | undefined, minTerm: number): Promise<ILeader> {
    const { clock, vm } = this.deps;
    const resources: commonTypes.IDisposable[] = [];
    const answer = new Promise<ILeader>((resolve, reject) => {
      const onMessage = (message: types.DownMessage): void => {
        if (message.kind === 'state') {
          this.updateMembers(message.members);
          const leader = leaderIn(message, address);
          if (leader !== undefined && leader.address !== current && leader.term >= minTerm) {
            resolve(leader);
          }
          reject(new Error('control VM knows no other leader'));
        }
      };
      const connection = new feedConnection.FeedConnection(address, clock, onMessage, () =>
        reject(new Error('probe timed out or its connection failed or ended')),
      );
      const timer = clock.setTimer(PROBE_TIMEOUT_MS, () => connection.end('probe timed out'));
      resources.push(connection, timer);
      connection.write({ kind: 'probe', vm });
    });
    return answer.finally(() => resources.forEach((resource) => resource.dispose()));
  }
}

/** Returns the leader that the state message of the control VM at `address` shows; undefined if it shows none. */
export function leaderIn(
  state: types.DownMessage & { readonly kind: 'state' },
  address: string,
): ILeader | undefined {
  const { leads, confirmed, leader, term } = state;
  if (leads && confirmed) {
    return { address, term };
  }
  return leads || leader === undefined ? undefined : { address: leader, term };
}
