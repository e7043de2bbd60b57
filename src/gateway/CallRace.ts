import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import type * as engineCall from './EngineCall.js';
import type * as types from './Types.js';

/** How a call was answered. */
export type CallEnd =
  | { readonly kind: 'answered'; readonly answer: types.IEndpointAnswer }
  | { readonly kind: 'failed'; readonly err: Error };

/** What a race of two calls asks for. */
export interface ICallRaceSteps {
  /** Requests a second engine; undefined if there is none. */
  readonly requestEngine: () => Promise<routing.IEndpoint | undefined>;
  /** Sends the request to the second engine; undefined if it may not be sent there any more. */
  readonly start: (endpoint: routing.IEndpoint) => engineCall.EngineCall | undefined;
  /** The request is not sent to a second engine, though one may have been requested. */
  readonly onWithdrawn: () => void;
  /**
   * Receives the call that goes on, and the other one with its end, undefined if it was cancelled. The race ends once it
   * resolves.
   */
  readonly onSettled: (
    winner: engineCall.EngineCall,
    loser: engineCall.EngineCall,
    loserEnd: CallEnd | undefined,
  ) => Promise<void>;
}

/**
 * Sends a request to a second engine if the first one has not answered after a delay, and uses the call that is answered
 * first. The race is over once one call fails: the other one goes on alone.
 */
export class CallRace {
  /** `clock` measures the delay. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly steps: ICallRaceSteps,
  ) {}

  /** Resolves with the call to use; its answer may be still to come. */
  async run(
    first: engineCall.EngineCall,
    delay: commonTypes.Millis,
  ): Promise<engineCall.EngineCall> {
    const firstEnd = endOf(first);
    if ((await this.isAnsweredWithin(firstEnd, delay)) !== undefined) {
      return first;
    }
    const endpoint = await Promise.race([
      firstEnd.then(() => undefined),
      this.steps.requestEngine(),
    ]);
    const second = endpoint && this.steps.start(endpoint);
    if (second === undefined) {
      this.steps.onWithdrawn();
      await firstEnd;
      return first;
    }
    const secondEnd = endOf(second);
    const ended = await Promise.race([
      firstEnd.then((end) => ({ call: first, end, other: second })),
      secondEnd.then((end) => ({ call: second, end, other: first })),
    ]);
    const [winner, loser, loserEnd] = isUsable(ended.end)
      ? [ended.call, ended.other, undefined]
      : [ended.other, ended.call, ended.call.isCancelled ? undefined : ended.end];
    loser.cancel();
    loser.dispose();
    await this.steps.onSettled(winner, loser, loserEnd);
    return winner;
  }

  private isAnsweredWithin(
    end: Promise<CallEnd>,
    delay: commonTypes.Millis,
  ): Promise<CallEnd | undefined> {
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(delay, () => resolve(undefined));
      void end.then((value) => {
        timer.dispose();
        resolve(value);
      });
    });
  }
}

function endOf(call: engineCall.EngineCall): Promise<CallEnd> {
  return call.answer.then(
    (answer) => ({ kind: 'answered', answer }),
    (err: Error) => ({ kind: 'failed', err }),
  );
}

/** Whether another engine would give the caller no other answer: a success, or an error of the request itself. */
function isUsable(end: CallEnd): boolean {
  if (end.kind === 'failed') {
    return false;
  }
  const { isNotRun, isGenuine, status } = end.answer;
  return !isNotRun && isGenuine && status < 500;
}
