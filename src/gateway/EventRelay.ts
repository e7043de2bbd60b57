import type * as byteBudget from '../common/memory/ByteBudget.js';
import type * as memory from '../common/memory/Types.js';
import * as eventFramer from '../entry/stage/EventFramer.js';
import type * as eventPace from './EventPace.js';
import type * as requestScope from './RequestScope.js';
import type * as types from './Types.js';

/** Maximum size of one event, which is buffered until it is complete; a stream with a larger one counts as broken. */
const MAX_EVENT_BYTES = 1_048_576;

/** Size from which an unfinished event is charged; events of ordinary streams are shorter and never wait. */
const MIN_CHARGED_BYTES = 16_384;

/** Head of a response at the start of a line. */
const RESPONSE_HEAD = /(?:^|[\r\n])HTTP\/1\.\d \d{3}/;

/** How the relay of one endpoint's response ended. */
export type RelayEnd =
  /** The complete response was forwarded. */
  | { readonly kind: 'whole' }
  /** The response broke off, ended inside an event, held no events that go on, or an event that is too large. */
  | { readonly kind: 'cut'; readonly reason: string }
  /** The request ended meanwhile. */
  | { readonly kind: 'over' };

/**
 * Forwards the server-sent events of an endpoint to the caller as they arrive. Forwards complete events only, so that
 * a stream that is resumed on another endpoint continues without gaps or duplicated parts.
 */
export class EventRelay {
  private lastForwardedId: string | undefined;

  private hasForwardedEvents = false;

  /** Memory of a long event that is unfinished. */
  private lease: memory.IByteLease | undefined;

  /** Forwards to the caller of `scope`; one relay serves all attempts of a request. Charges long events to `budget`. */
  constructor(
    private readonly scope: requestScope.RequestScope,
    private readonly budget: byteBudget.ByteBudget,
  ) {}

  /** Whether an event was forwarded, so that the stream has begun for the caller. */
  get hasForwarded(): boolean {
    return this.hasForwardedEvents;
  }

  /** Id of the last event that was forwarded; undefined if there is none. */
  get lastEventId(): string | undefined {
    return this.lastForwardedId;
  }

  /**
   * Forwards the body of `answer` until it ends or the request does. Calls `onFirstData` once, when the first bytes of
   * the body arrive. Pauses while the caller's write buffer is full. `pace` measures the time between events.
   */
  async relay(
    answer: types.IEndpointAnswer,
    onFirstData: () => void,
    pace: eventPace.EventPace,
  ): Promise<RelayEnd> {
    const { scope } = this;
    const framer = new eventFramer.EventFramer();
    let isFirst = true;
    try {
      for await (const chunk of answer.body) {
        if (scope.isFinished) {
          return { kind: 'over' };
        }
        if (isFirst) {
          isFirst = false;
          onFirstData();
        }
        const isContinued = this.hasForwarded && !framer.started;
        const events = framer.push(chunk as Buffer);
        if (events.length > 0) {
          const fault = this.findFault(events, answer, isContinued);
          if (fault !== undefined) {
            return this.endBroken(fault);
          }
          this.hasForwardedEvents = true;
          pace.record(events);
          this.lastForwardedId = framer.lastId ?? this.lastForwardedId;
          if (!scope.responder.write(events)) {
            pace.pause();
            await this.awaitDrain();
          }
        }
        if (framer.partialBytes > MAX_EVENT_BYTES) {
          return this.endBroken(`event exceeds ${MAX_EVENT_BYTES} bytes`);
        }
        if (this.lease !== undefined || framer.partialBytes >= MIN_CHARGED_BYTES) {
          await this.hold(framer.partialBytes, answer);
        }
      }
    } catch (err) {
      return this.endBroken((err as Error).message);
    } finally {
      this.dropLease();
    }
    if (!answer.isComplete()) {
      return this.endBroken('connection broke');
    }
    const { partialBytes } = framer;
    return partialBytes > 0
      ? this.endBroken(`ended inside an event after ${partialBytes} bytes of it`)
      : this.endWhole();
  }

  /**
   * Charges an unfinished event that is long, and ends the charge of one that is complete; while there is no room, the rest
   * waits at the endpoint.
   */
  private async hold(bytes: number, { body }: types.IEndpointAnswer): Promise<void> {
    if (bytes < MIN_CHARGED_BYTES) {
      this.dropLease();
      return;
    }
    this.lease ??= this.budget.lease('answer');
    while (!this.lease.resize(bytes) && !body.destroyed && !this.scope.isFinished) {
      await this.budget.freed();
    }
  }

  private dropLease(): void {
    this.lease?.dispose();
    this.lease = undefined;
  }

  /** Returns why events must not be forwarded; undefined if they may be. */
  private findFault(
    events: Buffer,
    answer: types.IEndpointAnswer,
    isContinued: boolean,
  ): string | undefined {
    if (isContinued && !this.isAfterLast(eventFramer.firstIdOf(events))) {
      return 'does not go on after the last event';
    }
    // A body without a length includes whatever the endpoint writes behind it.
    const mayHoldHead = !answer.isFramed && events.includes('HTTP/1.');
    return mayHoldHead && RESPONSE_HEAD.test(events.toString('latin1'))
      ? 'another response in the body'
      : undefined;
  }

  /** Whether an event with the id may follow the last one that was forwarded; ids increase. */
  private isAfterLast(id: string | undefined): boolean {
    return this.lastForwardedId === undefined || Number(id) > Number(this.lastForwardedId);
  }

  private endWhole(): RelayEnd {
    return { kind: this.scope.isFinished ? 'over' : 'whole' };
  }

  private endBroken(reason: string): RelayEnd {
    return this.scope.isFinished ? { kind: 'over' } : { kind: 'cut', reason };
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
