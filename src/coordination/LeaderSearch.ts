import type * as commonTypes from '../common/Types.js';
import * as feedConnection from './FeedConnection.js';
import type * as types from './Types.js';

/** Wait for the answers of all control VMs: one that is frozen must not hold up the others. */
const LOOK_MS = 200;
/** Wait for the answer of one; later ones are not wanted. */
const ANSWER_MS = 700;

/** What a search works with. */
export interface ILeaderSearchDependencies {
  readonly clock: commonTypes.IClock;
  /** `ip:port` of the feeds that the settings name, as they are now. */
  readonly seeds: () => readonly string[];
  /** Name of this VM. */
  readonly vm: string;
}

/** Finds the control VM that leads with a quorum. */
export class LeaderSearch {
  private members: readonly string[] = [];

  /** Knows the seeds only. */
  constructor(private readonly needs: ILeaderSearchDependencies) {}

  /** Every control VM that is known. */
  get knownAddresses(): readonly string[] {
    return [...new Set([...this.members, ...this.needs.seeds()])];
  }

  /** Takes the members that a control VM told of. */
  noteMembers(members: readonly string[]): void {
    this.members = members.length > 0 ? members : this.members;
  }

  /** Asks every control VM that is known but `except` at once; the first that leads with a quorum. */
  async find(except: string | undefined): Promise<string | undefined> {
    const asked = this.knownAddresses
      .filter((address) => address !== except)
      .map((address) => this.leadsAt(address));
    const patience = this.needs.clock.sleep(LOOK_MS).then(() => undefined);
    return Promise.race([Promise.any(asked).catch(() => undefined), patience]);
  }

  /** Resolves with the address when the control VM there leads with a quorum; rejects otherwise. */
  private leadsAt(address: string): Promise<string> {
    const { clock, vm } = this.needs;
    const asked: commonTypes.IDisposable[] = [];
    const leads = new Promise<string>((resolve, reject) => {
      const take = (message: types.DownMessage): void => {
        if (message.kind === 'state') {
          this.noteMembers(message.members);
          if (message.leads && message.confirmed) {
            resolve(address);
          }
          reject(new Error('not the leader'));
        }
      };
      const connection = new feedConnection.FeedConnection(address, clock, take, () =>
        reject(new Error('no answer')),
      );
      const timer = clock.setTimer(ANSWER_MS, () => connection.end('silent'));
      asked.push(connection, timer);
      connection.write({ kind: 'probe', vm });
    });
    return leads.finally(() => asked.forEach((each) => each.dispose()));
  }
}
