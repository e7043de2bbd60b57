/** Collects votes, both for the election that founds a group and for the later ones. */
import type * as replicaState from './ReplicaState.js';
import type * as types from './Types.js';

/** The voters of an election and its decision. */
export interface IElectorate {
  /** Voters other than this replica. */
  readonly peers: readonly types.Peer[];
  /** Whether the votes of these ids, this replica included, decide the election. */
  isQuorum(ids: ReadonlySet<string>): boolean;
}

/**
 * Requests votes from all peers in parallel; resolves with true as soon as a quorum grants. `onLaterTerm` is called for
 * a peer that responds with a later term.
 */
export async function collectVotes(
  state: replicaState.ReplicaState,
  electorate: IElectorate,
  request: { readonly pre: boolean; readonly term: number },
  onLaterTerm: (term: number) => Promise<void>,
): Promise<boolean> {
  const { lastIndex, lastTerm } = state.store;
  const body: types.IVoteRequest = { kind: 'vote', pre: request.pre, lastIndex, lastTerm };
  const granted = new Set([state.self.id]);
  if (electorate.isQuorum(granted)) {
    return true;
  }
  return new Promise((resolve) => {
    const requests = electorate.peers.map(async (peer) => {
      if (await requestVote(peer)) {
        granted.add(peer.id);
      }
      if (electorate.isQuorum(granted)) {
        resolve(true);
      }
    });
    void Promise.all(requests).then(() => resolve(false));
  });

  async function requestVote(peer: types.Peer): Promise<boolean> {
    try {
      const res = await state.call(peer, body, request.term);
      if (res.term > state.term) {
        await onLaterTerm(res.term);
      }
      return res.body?.kind === 'vote' && res.body.granted;
    } catch {
      return false;
    }
  }
}
