/** Converts between messages of the ledger and the types of the entry process. */
import * as control from '#wire/control.js';
import * as messages from '../../common/wire/Messages.js';
import * as storedAnswers from '../../control/state/StoredAnswers.js';
import type * as stateTypes from '../../control/state/Types.js';
import type * as services from './Services.js';

const { OutcomeState } = control.wire;

/** Outcome fields of the `ledger_finish` message; a large answer is sent as its digest. */
export interface IOutcomeFields {
  readonly outcome: control.wire.OutcomeState;
  readonly answer?: control.wire.RecordedAnswer.$Properties;
}

/** Converts the outcome of a call to the fields of its message. */
export function toOutcomeFields(outcome: services.LedgerOutcome): IOutcomeFields {
  if (outcome.state === 'finished') {
    const { status, contentType, body } = outcome.answer;
    const complete = { status, contentType, body, omitted: false, size: body.length, sha256: '' };
    const answer = messages.asProperties(storedAnswers.boundAnswer(complete));
    return { outcome: OutcomeState.OUTCOME_FINISHED, answer };
  }
  const notRun = outcome.state === 'not-run';
  return { outcome: notRun ? OutcomeState.OUTCOME_NOT_RUN : OutcomeState.OUTCOME_UNKNOWN };
}

/** Converts a recorded answer; a body that was not stored is replaced by a JSON note with its size and hash. */
export function toRecordedAnswer(
  answer: stateTypes.RecordedAnswer | null,
): services.IRecordedAnswer {
  if (answer !== null && !answer.omitted) {
    const { status, contentType, body } = answer;
    return { status, contentType, body };
  }
  const [bytes, sha256] = [answer?.size ?? 0, answer?.sha256 ?? ''];
  const text = JSON.stringify({
    recorded: true,
    body_kept: false,
    bytes,
    sha256,
    message: 'the call ran and was answered; its answer was too large to keep',
  });
  return {
    status: answer?.status ?? 200,
    contentType: 'application/json',
    body: new TextEncoder().encode(text),
    omitted: { bytes, sha256 },
  };
}
