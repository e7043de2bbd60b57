import * as emitter from '../../common/Emitter.js';
import type * as types from '../Types.js';

/** Link to a coordinator that a test plays. */
export class FakeCoordinatorLink implements types.ICoordinatorLink {
  isConnected = true;

  /** Observations that were sent, in order. */
  readonly sent: types.IRateLimitObservation[] = [];

  /** Requests for permits, in order. */
  readonly requests: { readonly permitId: number; readonly endpointId: string }[] = [];

  /** Decides about a request for a permit; undefined leaves it without an answer. */
  decide: (endpointId: string) => Omit<types.IPermitAnswer, 'permitId'> | undefined = () =>
    undefined;

  readonly coordinatorFound = new emitter.Emitter<void>();

  readonly permit = new emitter.Emitter<types.IPermitAnswer>();

  readonly rateLimits = new emitter.Emitter<readonly types.IRateLimitObservation[]>();

  readonly cold = new emitter.Emitter<readonly types.IColdStatement[]>();

  readonly onCold = this.cold.event;

  readonly onCoordinatorFound = this.coordinatorFound.event;

  readonly onPermit = this.permit.event;

  readonly onRateLimits = this.rateLimits.event;

  /** @inheritdoc */
  requestPermit(permitId: number, endpointId: string): void {
    this.requests.push({ permitId, endpointId });
    const answer = this.decide(endpointId);
    if (answer !== undefined) {
      queueMicrotask(() => this.permit.fire({ permitId, ...answer }));
    }
  }

  /** @inheritdoc */
  sendRateLimits(observations: readonly types.IRateLimitObservation[]): void {
    this.sent.push(...observations);
  }

  /** @inheritdoc */
  sendCold(): void {}
}
