import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Longest wait for the coordinator's answer; a round trip takes a few milliseconds. */
const ANSWER_TIMEOUT_MS = 300;
/** Time after which a request may come again that was refused for want of an answer. */
const RETRY_AFTER_MS = 1000;

/**
 * Requests trials at the coordinator, which admits one for all VMs: each of them would otherwise lose an endpoint to the
 * same request.
 */
export class TrialRequests implements commonTypes.IDisposable {
  private readonly pending = new Map<number, (answer: types.ITrialAnswer) => void>();

  private lastId = 0;

  private readonly subscription: commonTypes.IDisposable;

  /** Sends the requests over `link`. */
  constructor(
    private readonly link: types.IBlameLink,
    private readonly clock: commonTypes.IClock,
  ) {
    this.subscription = link.onTrial((answer) => this.pending.get(answer.trialId)?.(answer));
  }

  /** Resolves with the refusal of a request that has `trait`; with undefined if it may be sent. Never rejects. */
  request(
    trait: string,
    traits: types.IRequestTraits,
  ): Promise<types.IQuarantineRefusal | undefined> {
    const unanswered = { trait, retryAfter: RETRY_AFTER_MS };
    if (!this.link.isConnected) {
      return Promise.resolve(unanswered);
    }
    this.lastId += 1;
    const trialId = this.lastId;
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(ANSWER_TIMEOUT_MS, () => {
        this.pending.delete(trialId);
        resolve(unanswered);
      });
      this.pending.set(trialId, ({ refusal }) => {
        this.pending.delete(trialId);
        timer.dispose();
        resolve(refusal);
      });
      this.link.requestTrial(trialId, traits);
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
  }
}
