import * as pattern from 'ts-pattern';
import * as requestError from '../../common/RequestError.js';
import type * as commonServices from '../../common/services/Services.js';
import type * as services from '../services/Services.js';
import type * as types from './Types.js';

/** When a caller may ask again for a call that runs or could not be recorded, milliseconds. */
const ASK_AGAIN_MS = 5_000;

/** What runs once the intent is held. */
export type AtMostOnceCall = () => Promise<types.IWholeAnswer>;

/** Runs calls that may not be repeated: intent held by a quorum before the first byte, outcome after. */
export class AtMostOnceRunner {
  /** Uses the ledger of the control group. */
  constructor(
    private readonly ledger: services.ILedgerService,
    private readonly log: commonServices.ILogService,
  ) {}

  /** Runs the call, or gives the recorded answer of the same key; rejects with RequestError. */
  async run(
    intent: services.IIntent,
    signal: AbortSignal,
    call: AtMostOnceCall,
  ): Promise<types.IWholeAnswer> {
    const first = await this.begin(intent, signal);
    const decision = first.state === 'running' ? await this.wait(intent, signal) : first;
    return pattern
      .match(decision)
      .with({ state: 'granted' }, ({ token }) => this.runGranted(intent, token, call))
      .with({ state: 'finished' }, ({ answer }) => Promise.resolve(recorded(answer)))
      .with({ state: 'running' }, () => Promise.reject(stillRunning()))
      .with({ state: 'unknown' }, () => Promise.reject(unknownOutcome(intent)))
      .with({ state: 'too-old' }, () => Promise.reject(tooOld()))
      .with({ state: 'key-reused' }, () => Promise.reject(keyReused()))
      .exhaustive();
  }

  private async begin(
    intent: services.IIntent,
    signal: AbortSignal,
  ): Promise<services.LedgerDecision> {
    try {
      return await this.ledger.begin(intent, signal);
    } catch (err) {
      const message =
        'no quorum of the control group holds the intent; nothing was sent; try again';
      throw new requestError.RequestError('ledger-unavailable', message, {
        run: 'not-run',
        retryAfter: ASK_AGAIN_MS,
        cause: err,
      });
    }
  }

  private async wait(
    intent: services.IIntent,
    signal: AbortSignal,
  ): Promise<services.LedgerDecision> {
    try {
      return await this.ledger.wait(intent, signal);
    } catch {
      // The first call may still be running: this caller learns that and nothing more.
      return { state: 'running' };
    }
  }

  private async runGranted(
    intent: services.IIntent,
    token: string,
    call: AtMostOnceCall,
  ): Promise<types.IWholeAnswer> {
    let answer: types.IWholeAnswer;
    try {
      answer = await call();
    } catch (err) {
      const notRun = err instanceof requestError.RequestError && err.run === 'not-run';
      await this.finish(intent, token, { state: notRun ? 'not-run' : 'unknown' });
      throw notRun ? err : unknownOutcome(intent, err);
    }
    const { status, contentType, body } = answer;
    await this.finish(intent, token, { state: 'finished', answer: { status, contentType, body } });
    return answer;
  }

  /** A lost outcome leaves the record running until its lease ends, which then makes it unknown. */
  private async finish(
    intent: services.IIntent,
    token: string,
    outcome: services.LedgerOutcome,
  ): Promise<void> {
    try {
      await this.ledger.finish(intent, token, outcome);
    } catch (err) {
      this.log.warn('ledger-finish-lost', {
        request: intent.requestId,
        outcome: outcome.state,
        reason: (err as Error).message,
      });
    }
  }
}

function recorded(answer: services.IRecordedAnswer): types.IWholeAnswer {
  return { kind: 'whole', ...answer };
}

function stillRunning(): requestError.RequestError {
  const message = 'the same call is still running; ask again with the same key';
  return new requestError.RequestError('outcome-unknown', message, {
    run: 'unknown',
    retryAfter: ASK_AGAIN_MS,
  });
}

function unknownOutcome(intent: services.IIntent, cause?: unknown): requestError.RequestError {
  const message =
    `the call may have run and is never sent again by itself; ask the operator to look up key ` +
    `${intent.key} of ${intent.target} and resolve it`;
  return new requestError.RequestError('outcome-unknown', message, { run: 'unknown', cause });
}

function tooOld(): requestError.RequestError {
  const message =
    'the key is older than records are kept; check the target before sending a new key';
  return new requestError.RequestError('key-too-old', message, { run: 'unknown' });
}

function keyReused(): requestError.RequestError {
  const message = 'the key came with another body before; send this work under its own key';
  return new requestError.RequestError('key-reused', message, { run: 'not-run' });
}
