import * as pattern from 'ts-pattern';
import * as requestError from '../../common/RequestError.js';
import type * as commonServices from '../../common/services/Services.js';
import type * as services from '../services/Services.js';
import type * as types from './Types.js';

/** Retry delay for callers whose call is still running or could not be recorded. */
const LEDGER_RETRY_AFTER_MS = 5_000;

/** A call that starts only after a quorum has recorded its intent. */
export type AtMostOnceCall = () => Promise<types.IWholeAnswer>;

/**
 * Runs non-repeatable calls at most once: a quorum of the control group records the intent before the first byte
 * is sent, and the outcome after the call ends.
 */
export class AtMostOnceRunner {
  /** Records intents and outcomes in the ledger of the control group. */
  constructor(
    private readonly ledger: services.ILedgerService,
    private readonly log: commonServices.ILogService,
  ) {}

  /**
   * Runs the call, or resolves with the answer recorded for the same key. Waits for the outcome while another call
   * with this key is running.
   *
   * @throws RequestError `ledger-unavailable`, `outcome-unknown`, `key-too-old` or `key-reused`, or the call's own
   * error when it did not run.
   */
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
      .with({ state: 'finished' }, ({ answer }) => Promise.resolve(recordedAnswer(answer)))
      .with({ state: 'running' }, () => Promise.reject(stillRunningError()))
      .with({ state: 'unknown' }, () => Promise.reject(unknownOutcomeError(intent)))
      .with({ state: 'too-old' }, () => Promise.reject(keyTooOldError()))
      .with({ state: 'key-reused' }, () => Promise.reject(keyReusedError()))
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
        'no quorum of the control group recorded the intent; nothing was sent; try again';
      throw new requestError.RequestError('ledger-unavailable', message, {
        run: 'not-run',
        retryAfter: LEDGER_RETRY_AFTER_MS,
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
      // The outcome is not available, so the first call has to be reported as still running.
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
      throw notRun ? err : unknownOutcomeError(intent, err);
    }
    const { status, contentType, body } = answer;
    await this.finish(intent, token, { state: 'finished', answer: { status, contentType, body } });
    return answer;
  }

  /**
   * Records the outcome. If this fails, the record stays in state `running` until its lease expires, after which
   * the outcome counts as unknown.
   */
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

function recordedAnswer(answer: services.IRecordedAnswer): types.IWholeAnswer {
  return { kind: 'whole', ...answer };
}

function stillRunningError(): requestError.RequestError {
  const message = 'a call with the same key is still running; retry with the same key';
  return new requestError.RequestError('outcome-unknown', message, {
    run: 'unknown',
    retryAfter: LEDGER_RETRY_AFTER_MS,
  });
}

function unknownOutcomeError(intent: services.IIntent, cause?: unknown): requestError.RequestError {
  const message =
    `the call may have run and is not retried automatically; ask the operator to look up and resolve key ` +
    `${intent.key} of ${intent.target}`;
  return new requestError.RequestError('outcome-unknown', message, { run: 'unknown', cause });
}

function keyTooOldError(): requestError.RequestError {
  const message =
    'the key is older than the ledger retention period; check the target before sending a new key';
  return new requestError.RequestError('key-too-old', message, { run: 'unknown' });
}

function keyReusedError(): requestError.RequestError {
  const message = 'the key was already used with a different body; send this call with a new key';
  return new requestError.RequestError('key-reused', message, { run: 'not-run' });
}
