import type * as commonTypes from '../../common/Types.js';
import type * as services from '../../common/services/Services.js';
import type * as controlTypes from '../Types.js';
import type * as logStore from '../log/LogStore.js';
import type * as logTypes from '../log/Types.js';
import * as diskRoom from './DiskRoom.js';
import * as membership from './Membership.js';
import * as serialQueue from './SerialQueue.js';
import type * as types from './Types.js';

/** State shared by the components of one replica. */
export class ReplicaState {
  /** Role in the current term; a learner counts as a follower. */
  role: Exclude<controlTypes.ReplicaRole, 'learner'> = 'follower';

  /** Id of the leader of the current term; undefined until it has contacted this replica. */
  leaderId: string | undefined;

  /** Highest index that this replica knows to be committed. */
  commitIndex: number;

  /** Monotonic time of the last contact from the leader. */
  lastLeaderContact: commonTypes.Millis;

  /** Monotonic time from which the election timeout counts. */
  electionTimerStart: commonTypes.Millis;

  /** Monotonic time of the last request to an earlier incarnation of this replica; undefined before the first. */
  otherIncarnationAddressedAt: commonTypes.Millis | undefined;

  /** Id of the sender of that request. */
  otherIncarnationCaller: string | undefined;

  /** Members of the group according to the log. */
  readonly members: membership.Membership;

  /** Room on the disk for further entries. */
  readonly room: diskRoom.DiskRoom;

  /** Monotonic time of the last answer of each peer, by id. */
  private readonly answeredAt = new Map<string, commonTypes.Millis>();

  /** Serialises all operations that change the term, the vote or the log of a follower. */
  readonly serialQueue = new serialQueue.SerialQueue();

  /** Initialises the state from the log store; the leader counts as silent until its first contact. */
  constructor(
    readonly store: logStore.LogStore,
    readonly clock: commonTypes.IClock,
    readonly random: commonTypes.IRandom,
    readonly logService: services.ILogService,
    readonly transport: types.IPeerTransport,
    readonly tuning: types.ITuning,
  ) {
    this.members = new membership.Membership(store);
    this.room = new diskRoom.DiskRoom(store, clock, logService, tuning);
    this.commitIndex = store.snapshot?.meta.index ?? 0;
    this.electionTimerStart = clock.monotonic();
    this.lastLeaderContact = this.electionTimerStart - tuning.electionTimeoutMs;
  }

  /** Id and incarnation of this replica. */
  get self(): logTypes.IIdentity {
    return this.store.identity;
  }

  /** Current term, as it is on disk. */
  get term(): number {
    return this.store.vote.term;
  }

  /** True while the data folder holds neither an entry nor a snapshot of a group. */
  get isBlank(): boolean {
    return this.store.lastIndex === 0;
  }

  /** True when this replica is a voter under the incarnation of its current data folder. */
  get isVoter(): boolean {
    const { id, incarnation } = this.self;
    const member = this.members.find(id);
    return member !== undefined && member.voter && member.incarnation === incarnation;
  }

  /** True when the leader has made contact within the minimum election timeout. */
  get hasRecentLeader(): boolean {
    const silenceMs = this.clock.monotonic() - this.lastLeaderContact;
    return silenceMs < this.tuning.electionTimeoutMs;
  }

  /** Records a contact from the leader and restarts the election timer. */
  recordLeaderContact(): void {
    this.lastLeaderContact = this.clock.monotonic();
    this.electionTimerStart = this.lastLeaderContact;
  }

  /** Makes this replica a candidate in `term`, with its own vote durable; must run in `serialQueue`. */
  async becomeCandidate(term: number): Promise<void> {
    await this.store.saveVote({ term, votedFor: this.self.id });
    this.role = 'candidate';
    this.leaderId = undefined;
    this.logService.info('election-started', { term });
  }

  /** All members except this replica. */
  get peers(): readonly types.Peer[] {
    return this.members.current.filter((member) => member.id !== this.self.id);
  }

  /** Appends to the log and updates the members; resolves once the entries are durable. */
  append(entries: readonly logTypes.IEntry[]): Promise<void> {
    const durable = this.store.append(entries);
    this.room.recordAppend(totalLength(entries));
    this.members.recordAppend(entries);
    return durable;
  }

  /** Time since a peer last answered a request of this replica; undefined if it never has. */
  silenceOf(id: string): commonTypes.Millis | undefined {
    const answeredAt = this.answeredAt.get(id);
    return answeredAt === undefined ? undefined : this.clock.monotonic() - answeredAt;
  }

  /** Sends a request to a peer, in the current term unless another one is given. */
  async call(
    peer: types.Peer,
    body: types.PeerRequestBody,
    term: number = this.term,
  ): Promise<types.IPeerResponse> {
    const { id, incarnation } = this.self;
    const req: types.IPeerRequest = {
      from: id,
      fromIncarnation: incarnation,
      to: peer.id,
      toIncarnation: peer.incarnation,
      term,
      body,
    };
    const res = await this.transport.call(peer.address, req, this.tuning.callTimeoutMs);
    this.answeredAt.set(peer.id, this.clock.monotonic());
    return res;
  }
}

/** Total length of the data of entries. */
export function totalLength(entries: readonly logTypes.IEntry[]): number {
  return entries.reduce((sum, { data }) => sum + data.length, 0);
}
