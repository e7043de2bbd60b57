import type * as commonTypes from '../../common/Types.js';
import type * as services from '../../common/services/Services.js';
import type * as controlTypes from '../Types.js';
import type * as logStore from '../log/LogStore.js';
import type * as logTypes from '../log/Types.js';
import * as membership from './Membership.js';
import * as serialQueue from './SerialQueue.js';
import type * as types from './Types.js';

/** What the tasks of one replica share. */
export class ReplicaState {
  /** Role in the present term. */
  role: Exclude<controlTypes.ReplicaRole, 'learner'> = 'follower';

  /** Leader of the present term, once heard of. */
  leaderId: string | undefined;

  /** Entries up to here are committed, as far as this replica knows. */
  commitIndex: number;

  /** When the leader was last heard, monotonic. */
  lastLeaderContact: commonTypes.Millis;

  /** The wait for an election counts from here, monotonic. */
  electionTimerStart: commonTypes.Millis;

  /** Members of the group. */
  readonly members: membership.Membership;

  /** Orders everything that changes the term, the vote or a follower's log. */
  readonly serialQueue = new serialQueue.SerialQueue();

  /** Shares these between the tasks. */
  constructor(
    readonly store: logStore.LogStore,
    readonly clock: commonTypes.IClock,
    readonly random: commonTypes.IRandom,
    readonly logService: services.ILogService,
    readonly transport: types.IPeerTransport,
    readonly tuning: types.ITuning,
  ) {
    this.members = new membership.Membership(store);
    this.commitIndex = store.snapshot?.meta.index ?? 0;
    this.electionTimerStart = clock.monotonic();
    this.lastLeaderContact = this.electionTimerStart - tuning.electionTimeoutMs;
  }

  /** Who this replica is. */
  get self(): logTypes.IIdentity {
    return this.store.identity;
  }

  /** The present term, durable. */
  get term(): number {
    return this.store.vote.term;
  }

  /** Whether the data folder holds nothing of the group yet. */
  get isBlank(): boolean {
    return this.store.lastIndex === 0;
  }

  /** Whether this replica, with this data folder, may vote and lead. */
  get isVoter(): boolean {
    const { id, incarnation } = this.self;
    const member = this.members.find(id);
    return member !== undefined && member.voter && member.incarnation === incarnation;
  }

  /** Whether the leader was heard within the shortest election timeout. */
  get hasRecentLeader(): boolean {
    const silenceMs = this.clock.monotonic() - this.lastLeaderContact;
    return silenceMs < this.tuning.electionTimeoutMs;
  }

  /** Notes that the leader was heard now. */
  recordLeaderContact(): void {
    this.lastLeaderContact = this.clock.monotonic();
    this.electionTimerStart = this.lastLeaderContact;
  }

  /** Members but this replica. */
  get peers(): readonly types.Peer[] {
    return this.members.current.filter((member) => member.id !== this.self.id);
  }

  /** Appends to the log and follows its members. */
  append(entries: readonly logTypes.IEntry[]): Promise<void> {
    const durable = this.store.append(entries);
    this.members.recordAppend(entries);
    return durable;
  }

  /** Sends a request to a peer in this or a coming term. */
  call(
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
    return this.transport.call(peer.address, req, this.tuning.callTimeoutMs);
  }
}
