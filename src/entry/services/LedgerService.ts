import * as crypto from 'node:crypto';
import * as control from '#wire/control.js';
import * as pattern from 'ts-pattern';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as controlMethods from '../../common/wire/ControlMethods.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as controlUnavailable from '../../control/client/ControlUnavailableError.js';
import * as rejected from '../../control/client/RejectedError.js';
import * as stateMessages from '../../control/state/LedgerMessages.js';
import type * as entryLease from './EntryLease.js';
import * as ledgerMessages from './LedgerMessages.js';
import * as ledgerUnavailable from './LedgerUnavailableError.js';
import type * as outbox from './Outbox.js';
import type * as services from './Services.js';

const { DecisionState } = control.wire;
const BEGIN_TIMEOUT_MS = 5000;
const FINISH_TIMEOUT_MS = 3000;
const WAIT_TIMEOUT_MS = 4000;
/** Maximum age of a usable grant: on a longer wait this process may have been suspended. */
const MAX_GRANT_AGE_MS = BEGIN_TIMEOUT_MS;
/** Delay before another attempt after a refusal. */
const RETRY_DELAY_MS = 100;

type Decision = messages.Message<control.wire.LedgerDecision.$Properties>;

/** Client of the at-most-once ledger of the control group. */
export class LedgerService implements services.ILedgerService {
  /** `lease` owns the records of this process; `unsent` resends outcomes until they are delivered. */
  constructor(
    private readonly client: controlClient.ControlClient,
    private readonly lease: entryLease.EntryLease,
    private readonly unsent: outbox.Outbox,
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
  ) {}

  /** @inheritdoc */
  async begin(intent: services.IIntent, signal: AbortSignal): Promise<services.LedgerDecision> {
    // The token is created before the first attempt, so that a retry after a lost answer is idempotent.
    const token = crypto.randomUUID();
    const started = this.clock.monotonic();
    try {
      const decision = await this.requestGrant(intent, token, started + BEGIN_TIMEOUT_MS, signal);
      const late = this.clock.monotonic() - started > MAX_GRANT_AGE_MS;
      if (decision.state === 'granted' && (late || signal.aborted)) {
        throw new ledgerUnavailable.LedgerUnavailableError(
          'the ledger grant arrived too late to be used',
        );
      }
      return decision;
    } catch (err) {
      // Releases a grant whose answer was lost or late: no byte was written under this token.
      this.unsent.add(() => this.sendOutcome(intent, token, { state: 'not-run' }));
      throw err instanceof ledgerUnavailable.LedgerUnavailableError
        ? err
        : new ledgerUnavailable.LedgerUnavailableError(messageOf(err), err);
    }
  }

  /** @inheritdoc */
  async wait(intent: services.IIntent, signal: AbortSignal): Promise<services.LedgerDecision> {
    for (;;) {
      if (signal.aborted) {
        return { state: 'running' };
      }
      const ended = await this.waitForEnd(intent, signal);
      if (ended) {
        // Reads the outcome, or obtains a grant when the call ended as not run.
        const decision = await this.begin(intent, signal);
        if (decision.state !== 'running') {
          return decision;
        }
      }
    }
  }

  /** @inheritdoc */
  async finish(
    intent: services.IIntent,
    token: string,
    outcome: services.LedgerOutcome,
  ): Promise<void> {
    try {
      await this.sendOutcome(intent, token, outcome);
    } catch (err) {
      this.unsent.add(() => this.sendOutcome(intent, token, outcome));
      throw new ledgerUnavailable.LedgerUnavailableError(messageOf(err), err);
    }
  }

  private async requestGrant(
    intent: services.IIntent,
    token: string,
    end: commonTypes.Millis,
    signal: AbortSignal,
  ): Promise<services.LedgerDecision> {
    const ledgerBegin = { ...intent, token, incarnation: this.lease.incarnation };
    for (;;) {
      const timeout = end - this.clock.monotonic();
      const { ledger } = await this.client.execute({ ledgerBegin }, { timeout, signal });
      if (ledger !== null && ledger.state !== DecisionState.DECISION_REFUSED) {
        return toDecision(ledger);
      }
      await this.waitAfterRefusal(ledger?.message ?? '', end, signal);
    }
  }

  /** Waits before a retry when the lease is missing, which the next renewal resolves; throws on other refusals. */
  private async waitAfterRefusal(
    message: string,
    end: commonTypes.Millis,
    signal: AbortSignal,
  ): Promise<void> {
    const temporary = message === stateMessages.NO_LEASE;
    if (!temporary || this.clock.monotonic() + RETRY_DELAY_MS >= end || signal.aborted) {
      throw new ledgerUnavailable.LedgerUnavailableError(
        `the ledger refused the intent: ${message}`,
      );
    }
    await this.clock.sleep(RETRY_DELAY_MS, signal);
  }

  private async waitForEnd(intent: services.IIntent, signal: AbortSignal): Promise<boolean> {
    const { workspace, target, key } = intent;
    const limits = { timeout: WAIT_TIMEOUT_MS, signal };
    const { ledgerWait } = controlMethods.METHODS;
    try {
      const { ended } = await this.client.call(ledgerWait, { workspace, target, key }, limits);
      return ended;
    } catch (err) {
      if (err instanceof controlUnavailable.ControlUnavailableError) {
        return false;
      }
      throw err;
    }
  }

  private async sendOutcome(
    intent: services.IIntent,
    token: string,
    outcome: services.LedgerOutcome,
  ): Promise<void> {
    const { workspace, target, key } = intent;
    const ledgerFinish = {
      workspace,
      target,
      key,
      token,
      ...ledgerMessages.toOutcomeFields(outcome),
    };
    try {
      await this.client.execute({ ledgerFinish }, { timeout: FINISH_TIMEOUT_MS });
    } catch (err) {
      if (!(err instanceof rejected.RejectedError)) {
        throw err;
      }
      // An operator resolved the record, or another outcome is recorded: a retry can not succeed.
      const { code, message } = err;
      this.logService.error('ledger-finish-refused', { request: intent.requestId, code, message });
    }
  }
}

function toDecision(decision: Decision): services.LedgerDecision {
  return (
    pattern
      .match(decision)
      .returnType<services.LedgerDecision>()
      .with({ state: DecisionState.DECISION_GRANTED }, ({ token }) => ({ state: 'granted', token }))
      .with({ state: DecisionState.DECISION_RUNNING }, () => ({ state: 'running' }))
      .with({ state: DecisionState.DECISION_FINISHED }, ({ answer }) => ({
        state: 'finished',
        answer: ledgerMessages.toRecordedAnswer(answer),
      }))
      .with({ state: DecisionState.DECISION_TOO_OLD }, () => ({ state: 'too-old' }))
      .with({ state: DecisionState.DECISION_KEY_REUSED }, () => ({ state: 'key-reused' }))
      // An unrecognized state, sent by a newer control group, is not a grant.
      .otherwise(() => ({ state: 'unknown' }))
  );
}

function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
