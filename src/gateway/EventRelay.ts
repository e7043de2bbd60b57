import * as eventFramer from '../entry/stage/EventFramer.js';
import type * as requestScope from './RequestScope.js';
import type * as types from './Types.js';

/**
 * How the relay of one endpoint's response ended: `whole` if the complete response was forwarded, `cut` if the
 * endpoint's connection broke before its end, `over` if the request ended meanwhile.
 */
export type RelayOutcome = 'whole' | 'cut' | 'over';

/**
 * Forwards the server-sent events of an endpoint to the caller as they arrive. Forwards complete events only, so that
 * a stream that is resumed on another endpoint continues without gaps or duplicated parts.
 */
export class EventRelay {
  private readonly framer = new eventFramer.EventFramer();

  /** Forwards to the caller of `scope`; one relay serves all attempts of a request. */
  constructor(private readonly scope: requestScope.RequestScope) {}

  /** Id of the last event that was forwarded; undefined if there is none. */
  get lastEventId(): string | undefined {
    return this.framer.lastId;
  }

  /**
   * Forwards the body of `answer` until it ends or the request does. Calls `onFirstData` once, when the first bytes of
   * the body arrive. Pauses while the caller's write buffer is full.
   */
  async relay(answer: types.IEndpointAnswer, onFirstData: () => void): Promise<RelayOutcome> {
    const { scope } = this;
    let isFirst = true;
    try {
      for await (const chunk of answer.body) {
        if (scope.isFinished) {
          return 'over';
        }
        if (isFirst) {
          isFirst = false;
          onFirstData();
        }
        const events = this.framer.push(chunk as Buffer);
        if (events.length > 0 && !scope.responder.write(events)) {
          await this.awaitDrain();
        }
      }
    } catch {
      // The connection broke: handled like a truncated body. The request handler logs the outcome.
      this.framer.discard();
      return scope.isFinished ? 'over' : 'cut';
    }
    if (scope.isFinished) {
      return 'over';
    }
    if (!answer.isComplete()) {
      this.framer.discard();
      return 'cut';
    }
    const lastEvents = this.framer.finish();
    if (lastEvents.length > 0) {
      scope.responder.write(lastEvents);
    }
    return 'whole';
  }

  private awaitDrain(): Promise<void> {
    return new Promise((resolve) => {
      const unregister: (() => void) | undefined = this.scope.onFinish(resolve);
      this.scope.responder.onDrain(() => {
        unregister?.();
        resolve();
      });
    });
  }
}
