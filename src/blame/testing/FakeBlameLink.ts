import * as emitter from '../../common/Emitter.js';
import type * as types from '../Types.js';

/** Link to a coordinator that a test plays. */
export class FakeBlameLink implements types.IBlameLink {
  private readonly foundEmitter = new emitter.Emitter<void>();

  private readonly blameEmitter = new emitter.Emitter<types.IBlameNews>();

  private readonly trialEmitter = new emitter.Emitter<types.ITrialAnswer>();

  readonly onCoordinatorFound = this.foundEmitter.event;

  readonly onBlame = this.blameEmitter.event;

  readonly onTrial = this.trialEmitter.event;

  isConnected = true;

  /** Ids of the trials that were requested, in order. */
  readonly requestedTrials: number[] = [];

  /** Decides on a trial; `silent` leaves the request without an answer. */
  decideTrial: () => types.IQuarantineRefusal | undefined | 'silent' = () => undefined;

  /** @inheritdoc */
  sendBlame(): void {}

  /** @inheritdoc */
  requestTrial(trialId: number): void {
    this.requestedTrials.push(trialId);
    const refusal = this.decideTrial();
    if (refusal !== 'silent') {
      this.trialEmitter.fire({ trialId, refusal });
    }
  }
}
