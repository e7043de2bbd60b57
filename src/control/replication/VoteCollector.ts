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

/** Result of a collection of votes. */
export interface IVotes {
  /** True when a quorum granted its votes; votes that arrived later are then missing from `replies`. */
  readonly isQuorum: boolean;
  /** `granted`, `refused`, `not-addressed` (the peer has another id or incarnation) or the error of the call, by id of the peer. */
  readonly replies: ReadonlyMap<string, string>;
}

/**
 * Requests votes from all peers in parallel; resolves as soon as a quorum grants, or when all calls have ended.
 * `onLaterTerm` is called for a peer that responds with a later term.
 */
export async function collectVotes(
  state: replicaState.ReplicaState,
  electorate: IElectorate,
  request: { readonly pre: boolean; readonly term: number },
  onLaterTerm: (term: number) => Promise<void>,
): Promise<IVotes> {
  const { lastIndex, lastTerm } = state.store;
  const body: types.IVoteRequest = { kind: 'vote', pre: request.pre, lastIndex, lastTerm };
  const granted = new Set([state.self.id]);
  const replies = new Map<string, string>();
  if (electorate.isQuorum(granted)) {
    return { isQuorum: true, replies };
  }
  return new Promise((resolve) => {
    const requests = electorate.peers.map(async (peer) => {
      const reply = await requestVote(peer);
      replies.set(peer.id, reply);
      if (reply === 'granted') {
        granted.add(peer.id);
      }
      if (electorate.isQuorum(granted)) {
        resolve({ isQuorum: true, replies });
      }
    });
    void Promise.all(requests).then(() => resolve({ isQuorum: false, replies }));
  });

  async function requestVote(peer: types.Peer): Promise<string> {
    try {
      const res = await state.call(peer, body, request.term);
      if (res.term > state.term) {
        await onLaterTerm(res.term);
      }
      if (res.body?.kind !== 'vote') {
        return 'not-addressed';
      }
      return res.body.granted ? 'granted' : 'refused';
    } catch (err) {
      return (err as Error).message;
    }
  }
}
