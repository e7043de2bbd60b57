import * as pattern from 'ts-pattern';
import type * as controlTypes from '../Types.js';
import * as codec from '../log/Codec.js';
import type * as leadership from './Leadership.js';
import * as membershipError from './MembershipError.js';
import type * as replicaState from './ReplicaState.js';

/** A learner that has not answered for this many election timeouts is down, or has another incarnation by now. */
const LEARNER_SILENCE_TIMEOUTS = 2;

type Members = readonly controlTypes.IMember[];

/** Plans membership changes and appends them to the log, one change at a time. */
export class MembershipChanger {
  private isChanging = false;

  /** Changes the members of the group that `state` belongs to. */
  constructor(private readonly state: replicaState.ReplicaState) {}

  /**
   * Makes one change under the leadership `activeLeadership` and resolves once it is committed. Resolves without
   * appending anything when the change is already in force.
   *
   * @throws MembershipError when the change cannot be made now; nothing is appended.
   */
  async change(
    activeLeadership: leadership.Leadership,
    change: controlTypes.IMembershipChange,
  ): Promise<void> {
    if (this.isChanging || !this.isReadyForChange(activeLeadership)) {
      throw new membershipError.MembershipError(
        'the previous membership change or the first entry of this term is not committed yet',
      );
    }
    this.isChanging = true;
    try {
      const next = await this.plan(activeLeadership, change);
      if (next !== undefined) {
        await activeLeadership.appendPending('members', codec.encodeMembers(next));
      }
    } finally {
      this.isChanging = false;
    }
  }

  /** True when the last membership change and the first entry of this leader's term are committed. */
  private isReadyForChange(activeLeadership: leadership.Leadership): boolean {
    const { members, commitIndex } = this.state;
    return members.index <= commitIndex && activeLeadership.firstIndex <= commitIndex;
  }

  private plan(
    activeLeadership: leadership.Leadership,
    change: controlTypes.IMembershipChange,
  ): Promise<Members | undefined> {
    return pattern
      .match(change.action)
      .with('add-learner', () => this.planLearner(change.id, change.address))
      .with('promote', () => this.planPromotion(activeLeadership, change.id))
      .with('remove', async () => this.planRemoval(change.id))
      .exhaustive();
  }

  private async planLearner(id: string, address: string | undefined): Promise<Members | undefined> {
    if (address === undefined) {
      throw new membershipError.MembershipError('adding a learner requires its address');
    }
    const existing = this.state.members.find(id);
    if (existing?.address === address && !existing.voter) {
      return undefined;
    }
    if (existing !== undefined) {
      throw new membershipError.MembershipError(`${id} is already a member; remove it first`);
    }
    const peer = { id, address, voter: false, incarnation: '' };
    const res = await this.state.call(peer, { kind: 'hello' }).catch((err: Error) => {
      throw new membershipError.MembershipError(`${id} at ${address}: ${err.message}`);
    });
    if (res.body?.kind !== 'hello' || !res.body.blank) {
      throw new membershipError.MembershipError(`${id} at ${address} is not a blank replica`);
    }
    return [...this.state.members.current, { ...peer, incarnation: res.incarnation }];
  }

  private async planPromotion(
    activeLeadership: leadership.Leadership,
    id: string,
  ): Promise<Members | undefined> {
    const member = this.state.members.find(id);
    if (member === undefined) {
      throw new membershipError.MembershipError(`${id} is not a member`);
    }
    if (member.voter) {
      return undefined;
    }
    await this.waitForCatchUp(activeLeadership, id);
    return this.state.members.current.map((other) =>
      other.id === id ? { ...other, voter: true } : other,
    );
  }

  private planRemoval(id: string): Members | undefined {
    const { members } = this.state;
    const member = members.find(id);
    if (member === undefined) {
      return undefined;
    }
    if (member.voter && members.voters.length === 1) {
      throw new membershipError.MembershipError(`${id} is the only voter`);
    }
    return members.current.filter((other) => other.id !== id);
  }

  /** Waits until the learner holds every entry that is committed at the time of the call. */
  private async waitForCatchUp(activeLeadership: leadership.Leadership, id: string): Promise<void> {
    const { clock, tuning, commitIndex } = this.state;
    const deadline = clock.monotonic() + tuning.catchUpTimeoutMs;
    while (activeLeadership.matchIndexOf(id) < commitIndex) {
      if (clock.monotonic() >= deadline || activeLeadership.isEnded) {
        throw new membershipError.MembershipError(`learner ${id} has not caught up with the log`);
      }
      if (activeLeadership.silenceOf(id) > LEARNER_SILENCE_TIMEOUTS * tuning.electionTimeoutMs) {
        throw new membershipError.MembershipError(`learner ${id} does not answer`);
      }
      await clock.sleep(tuning.heartbeatMs);
    }
  }
}
