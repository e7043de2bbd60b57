import * as eventFramer from '../entry/stage/EventFramer.js';
import type * as requestScope from './RequestScope.js';
import type * as types from './Types.js';

/** How the passing on of one endpoint's events ended. */
export type RelayEnd = 'whole' | 'cut' | 'over';

/**
 * Passes an endpoint's events on to the caller as they come, whole events only, so that a run that goes on at
 * another endpoint joins without a gap or a part that comes twice.
 */
export class EventRelay {
  private readonly cutter = new eventFramer.EventFramer();

  /** Serves the caller of `scope`. */
  constructor(private readonly scope: requestScope.RequestScope) {}

  /** Id of the last event passed on. */
  get lastEventId(): string | undefined {
    return this.cutter.lastId;
  }

  /** Passes on until the body ends. `onFirst` is called with the first event. */
  async relay(answer: types.IEndpointAnswer, onFirst: () => void): Promise<RelayEnd> {
    const { scope } = this;
    let first = true;
    try {
      for await (const chunk of answer.body) {
        if (scope.isOver) {
          return 'over';
        }
        if (first) {
          first = false;
          onFirst();
        }
        const events = this.cutter.push(chunk as Buffer);
        if (events.length > 0 && !scope.responder.write(events)) {
          await this.drained();
        }
      }
    } catch {
      // A broken connection ends the loop like an end that is not whole; the run logs it.
      this.cutter.discard();
      return scope.isOver ? 'over' : 'cut';
    }
    if (scope.isOver) {
      return 'over';
    }
    if (!answer.isWhole()) {
      this.cutter.discard();
      return 'cut';
    }
    const rest = this.cutter.finish();
    if (rest.length > 0) {
      scope.responder.write(rest);
    }
    return 'whole';
  }

  private drained(): Promise<void> {
    return new Promise((resolve) => {
      const forget: (() => void) | undefined = this.scope.onFinish(resolve);
      this.scope.responder.onDrain(() => {
        forget?.();
        resolve();
      });
    });
  }
}
