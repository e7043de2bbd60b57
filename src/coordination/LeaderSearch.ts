import type * as commonTypes from '../common/Types.js';
import * as feedConnection from './FeedConnection.js';
import type * as types from './Types.js';

/** Time limit of a whole search, so that an unresponsive control VM does not delay it. */
const SEARCH_TIMEOUT_MS = 200;
/**
 * Time limit of one probe; later answers are discarded. Longer than the search: an answer after the end of the search
 * still updates the members.
 */
const PROBE_TIMEOUT_MS = 700;

/** Components and settings that a leader search uses. */
export interface ILeaderSearchDependencies {
  readonly clock: commonTypes.IClock;
  /** Returns the feed addresses (`ip:port`) in the current settings. */
  readonly seeds: () => readonly string[];
  /** Name of this VM, sent with each probe. */
  readonly vm: string;
}

/** Finds the control VM that leads the group with a quorum. */
export class LeaderSearch {
  private memberAddresses: readonly string[] = [];

  /** Creates a search that starts with the seed addresses only. */
  constructor(private readonly deps: ILeaderSearchDependencies) {}

  /** Feed addresses of all known control VMs: group members, then seeds, without duplicates. */
  get knownAddresses(): readonly string[] {
    return [...new Set([...this.memberAddresses, ...this.deps.seeds()])];
  }

  /** Replaces the known members by those that a control VM reported; an empty list is ignored. */
  updateMembers(members: readonly string[]): void {
    this.memberAddresses = members.length > 0 ? members : this.memberAddresses;
  }

  /**
   * Probes all known control VMs except `excludedAddress` at once. Resolves with the address of the first one that
   * leads with a quorum, or with undefined if none answers so within `SEARCH_TIMEOUT_MS`.
   */
  async find(excludedAddress: string | undefined): Promise<string | undefined> {
    const probes = this.knownAddresses
      .filter((address) => address !== excludedAddress)
      .map((address) => this.probe(address));
    const timeout = this.deps.clock.sleep(SEARCH_TIMEOUT_MS).then(() => undefined);
    return Promise.race([Promise.any(probes).catch(() => undefined), timeout]);
  }

  /**
   * Resolves with `address` if its control VM leads with a quorum. Rejects if it does not, on timeout, and if the
   * connection fails or ends.
   */
  private probe(address: string): Promise<string> {
    const { clock, vm } = this.deps;
    const resources: commonTypes.IDisposable[] = [];
    const answer = new Promise<string>((resolve, reject) => {
      const onMessage = (message: types.DownMessage): void => {
        if (message.kind === 'state') {
          this.updateMembers(message.members);
          if (message.leads && message.confirmed) {
            resolve(address);
          }
          reject(new Error('control VM does not lead with a quorum'));
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
