import type * as commonTypes from '../../common/Types.js';
import * as codec from '../log/Codec.js';
import type * as controlTypes from '../Types.js';
import type * as election from './Election.js';
import type * as replicaState from './ReplicaState.js';
import * as voteCollector from './VoteCollector.js';

const FOUNDING_INDEX = 1;
/** Wait for founding members that do not respond, or for a group that already exists, in election timeouts. */
const FOUNDING_WAIT_TIMEOUTS = 4;
/** Wait for each responding founding member with a lower id, in election timeouts. */
const LOWER_ID_WAIT_TIMEOUTS = 2;
/** A group that exists addresses its members several times within this time. */
const OTHER_GROUP_MEMORY_MS = 5000;

/** What a founding member responded. */
interface ICandidateMember extends controlTypes.IMember {
  readonly term: number;
  readonly isBlank: boolean;
  /** True when its data folder recorded the same founding members before any group could exist. */
  readonly isRecorded: boolean;
}

/**
 * Founds the group, while the data folder is blank, through an election among the founding members in which votes are
 * durable. The winner appends the members as the first entry, which is committed like any other entry.
 *
 * The election needs the votes of a majority, counting only replicas whose folder recorded the founding members at the
 * first start: a replica that lost its folder has no such record, so that every majority includes a replica that still
 * knows of an earlier group. Without that majority it needs the votes of all founding members, which a replica after its
 * first start asks for only if no group addresses an earlier incarnation of it.
 */
export class Founder {
  private readonly stop = new AbortController();

  private possibleSince: commonTypes.Millis | undefined;

  private loggedStatus = '';

  /**
   * `founding` are all founding members, this replica included; empty if it takes no part. With `isLaterStart` a group
   * may exist already.
   */
  constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly founding: readonly controlTypes.IFoundingMember[],
    private readonly isLaterStart: boolean,
    private readonly listener: election.IElectionListener,
  ) {}

  /** Runs until the data folder is not blank, or until disposed. */
  async run(): Promise<void> {
    const { clock, tuning } = this.state;
    const { signal } = this.stop;
    while (!signal.aborted && this.state.isBlank && this.founding.length > 0) {
      const candidates = await this.fetchMembers();
      if (this.isFoundingDue(candidates)) {
        await this.campaign(candidates).catch((err: Error) => this.listener.onFailed(err));
        this.possibleSince = undefined;
      }
      await clock.sleep(tuning.electionTimeoutMs, signal).catch(() => {});
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('stopped'));
  }

  private isFoundingDue(candidates: readonly ICandidateMember[]): boolean {
    const { clock, tuning, self } = this.state;
    this.logStatus(candidates);
    const hasAll = candidates.length === this.founding.length;
    const hasRecordedMajority = this.isRecordedMajority(candidates);
    const isPossible =
      candidates.every(({ isBlank }) => isBlank) &&
      (hasAll || hasRecordedMajority) &&
      !this.isOtherGroupActive;
    if (!isPossible) {
      this.possibleSince = undefined;
      return false;
    }
    this.possibleSince ??= clock.monotonic();
    const lowerIds = candidates.filter(({ id }) => id < self.id).length;
    const mustWait = !hasAll || (this.isLaterStart && !hasRecordedMajority);
    const timeouts = lowerIds * LOWER_ID_WAIT_TIMEOUTS + (mustWait ? FOUNDING_WAIT_TIMEOUTS : 0);
    // Granting a vote restarts the election timer, so that the candidate is not disturbed at once.
    const waitStart = Math.max(this.possibleSince, this.state.electionTimerStart);
    return clock.monotonic() - waitStart >= timeouts * tuning.electionTimeoutMs;
  }

  private isRecordedMajority(members: readonly ICandidateMember[]): boolean {
    return members.filter(({ isRecorded }) => isRecorded).length * 2 > this.founding.length;
  }

  /** True while a group addresses an earlier incarnation of this replica. */
  private get isOtherGroupActive(): boolean {
    const { clock, otherIncarnationAddressedAt = -Infinity } = this.state;
    return clock.monotonic() - otherIncarnationAddressedAt < OTHER_GROUP_MEMORY_MS;
  }

  private async campaign(candidates: readonly ICandidateMember[]): Promise<void> {
    const { state, listener } = this;
    const term = Math.max(state.term, ...candidates.map((member) => member.term)) + 1;
    const isCandidate = await state.serialQueue.run(async () => {
      const canStand = state.isBlank && state.term < term && !this.stop.signal.aborted;
      if (canStand) {
        await state.becomeCandidate(term);
      }
      return canStand;
    });
    const electorate = {
      peers: candidates.filter(({ id }) => id !== state.self.id),
      isQuorum: (ids: ReadonlySet<string>) =>
        ids.size === this.founding.length ||
        this.isRecordedMajority(candidates.filter(({ id }) => ids.has(id))),
    };
    const votes =
      isCandidate &&
      (await voteCollector.collectVotes(state, electorate, { pre: false, term }, (later) =>
        listener.onLaterTerm(later),
      ));
    if (votes !== false && votes.isQuorum) {
      await state.serialQueue.run(() => this.found(candidates, term));
    }
  }

  /** Appends the members and takes over leadership, unless a leader or a later term has been seen meanwhile. */
  private async found(candidates: readonly ICandidateMember[], term: number): Promise<void> {
    const { state } = this;
    if (!state.isBlank || state.term !== term || state.role !== 'candidate') {
      return;
    }
    const members = this.founding.map(({ id, address }) => {
      // No replica has an empty incarnation: a member that did not respond has to join.
      const incarnation = candidates.find((each) => each.id === id)?.incarnation ?? '';
      return { id, address, voter: true, incarnation };
    });
    const data = codec.encodeMembers(members);
    await state.append([{ index: FOUNDING_INDEX, term, kind: 'members', data }]);
    if (!this.stop.signal.aborted) {
      const missing = members.filter(({ incarnation }) => incarnation === '').map(({ id }) => id);
      state.logService.info('group-founded', {
        term,
        members: members.length,
        missing: missing.join(','),
      });
      this.listener.onElected(term);
    }
  }

  /** Returns the founding members that respond, this replica included. */
  private async fetchMembers(): Promise<readonly ICandidateMember[]> {
    const responses = await Promise.all(this.founding.map((member) => this.fetchMember(member)));
    return responses.filter((member) => member !== undefined);
  }

  private async fetchMember(
    member: controlTypes.IFoundingMember,
  ): Promise<ICandidateMember | undefined> {
    const { self, term, isBlank } = this.state;
    const voter = { id: member.id, address: member.address, voter: true };
    if (member.id === self.id) {
      const isRecorded = this.matchesFounding(self.founders.map(({ id }) => id));
      return { ...voter, incarnation: self.incarnation, term, isBlank, isRecorded };
    }
    try {
      const res = await this.state.call({ ...voter, incarnation: '' }, { kind: 'hello' });
      if (res.body?.kind !== 'hello') {
        return undefined;
      }
      const { incarnation } = res;
      const isRecorded = this.matchesFounding(res.body.founders);
      return { ...voter, incarnation, term: res.term, isBlank: res.body.blank, isRecorded };
    } catch {
      return undefined;
    }
  }

  private matchesFounding(ids: readonly string[]): boolean {
    const expected = this.founding.map(({ id }) => id);
    return ids.length === expected.length && ids.every((id) => expected.includes(id));
  }

  /** Logs the responses of the founding members whenever they have changed. */
  private logStatus(candidates: readonly ICandidateMember[]): void {
    const idsWhere = (matches: (member: ICandidateMember) => boolean): string =>
      candidates
        .filter(matches)
        .map(({ id }) => id)
        .join(',');
    const fields = {
      blank: idsWhere(({ isBlank }) => isBlank),
      recorded: idsWhere(({ isRecorded }) => isRecorded),
      inGroup: idsWhere(({ isBlank }) => !isBlank),
      missing: this.founding
        .filter(({ id }) => !candidates.some((member) => member.id === id))
        .map(({ id }) => id)
        .join(','),
    };
    const status = JSON.stringify(fields);
    if (status !== this.loggedStatus) {
      this.loggedStatus = status;
      this.state.logService.info('founding-status', fields);
    }
  }
}
