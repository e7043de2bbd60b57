import * as emitter from '../../common/Emitter.js';
import * as notLeader from '../replication/NotLeaderError.js';
import type * as controlTypes from '../Types.js';

/** In-memory log with a single replica, for tests of components that use the log; tests set its leadership. */
export class LocalLog implements controlTypes.IReplicatedLog {
  private readonly leadership = new emitter.Emitter<boolean>();

  private readonly applied = new emitter.Emitter<number>();

  private readonly failed = new emitter.Emitter<Error>();

  private leads = false;

  private index = 0;

  readonly onLeadership = this.leadership.event;

  readonly onApplied = this.applied.event;

  readonly onFailed = this.failed.event;

  /** Applies its commands to `state`. */
  constructor(
    private readonly id: string,
    private readonly state: controlTypes.IStateMachine,
  ) {}

  /** Sets whether this replica is the leader and fires `onLeadership`. */
  setLeading(leads: boolean): void {
    this.leads = leads;
    this.leadership.fire(leads);
  }

  /** @inheritdoc */
  async propose(command: Uint8Array): Promise<Uint8Array> {
    await this.readBarrier();
    this.index += 1;
    const result = this.state.apply(this.index, command);
    this.applied.fire(this.index);
    return result;
  }

  /** @inheritdoc */
  readBarrier(): Promise<void> {
    return this.leads ? Promise.resolve() : Promise.reject(new notLeader.NotLeaderError(undefined));
  }

  /** @inheritdoc */
  changeMembership(): Promise<void> {
    return Promise.reject(new Error('the log has a single replica'));
  }

  /** @inheritdoc */
  status(): controlTypes.IReplicaStatus {
    return {
      id: this.id,
      incarnation: '',
      role: this.leads ? 'leader' : 'follower',
      term: 1,
      leaderId: this.leads ? this.id : undefined,
      hasLeader: this.leads,
      isVoter: true,
      isStateCurrent: true,
      commitIndex: this.index,
      appliedIndex: this.index,
      members: [],
    };
  }

  /** @inheritdoc */
  timeSinceAnswer(): undefined {}

  /** @inheritdoc */
  dispose(): void {}
}
