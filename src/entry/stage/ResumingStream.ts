import type * as commonServices from '../../common/services/Services.js';
import * as requestError from '../../common/RequestError.js';
import * as endpointError from '../endpoints/EndpointError.js';
import type * as entryTypes from '../Types.js';
import type * as attemptRace from './AttemptRace.js';
import * as eventFramer from './EventFramer.js';

/** Maximum number of times that one stream restarts or resumes on another endpoint. */
const MAX_RESUMES = 3;
const RETRY_AFTER_MS = 1_000;
/** Header that resumes server-sent events after an id (WHATWG HTML, 9.2.4). */
const LAST_EVENT_ID_HEADER = 'last-event-id';

/**
 * Starts the stream again after the event `lastId`, or from the start when `lastId` is undefined. Avoids the
 * endpoints named in `tried`; rejects with RequestError.
 */
export type RestartStream = (
  lastId: string | undefined,
  tried: readonly string[],
) => Promise<attemptRace.IWinner<entryTypes.IEndpointStream>>;

/** Returns the headers that request the events after `lastId`; empty when it is undefined. */
export function resumeHeaders(lastId: string | undefined): Readonly<Record<string, string>> {
  return lastId === undefined ? {} : { [LAST_EVENT_ID_HEADER]: lastId };
}

/** Whether the first resumed event directly follows `lastId`, so that no event is lost or duplicated. */
function isContiguous(lastId: string | undefined, events: Buffer): boolean {
  const first = eventFramer.firstIdOf(events);
  if (lastId === undefined || first === undefined) {
    return true;
  }
  return Number(first) === Number(lastId) + 1;
}

function mediaTypeOf({ headers }: entryTypes.IEndpointStream): string {
  const [type = ''] = (headers['content-type'] ?? '').split(';', 1);
  return type.trim().toLowerCase();
}

/**
 * The chunks of one stage's stream. A stream that is cut before its first event starts again on another
 * endpoint. After that, it resumes after the last whole event when the pool supports resuming, and the first
 * resumed event must be the next one in sequence. Only an answer with the status and media type of the first one goes on
 * with it, since their head may have reached the caller. In all other cases the caller gets `stream-cut`.
 */
export class ResumingStream implements AsyncIterable<Uint8Array> {
  private readonly framer = new eventFramer.EventFramer();

  private readonly tried: string[] = [];

  private resumeCount = 0;

  private ended = false;

  private readonly first: entryTypes.IEndpointStream;

  private readonly onAbort = (): void => this.end('failed');

  /** Relays the stream of `winner`; `onEnd` is called exactly once with the outcome. */
  constructor(
    private winner: attemptRace.IWinner<entryTypes.IEndpointStream>,
    private readonly call: entryTypes.IStageCall,
    private readonly ctx: entryTypes.IRequestContext,
    private readonly metrics: commonServices.IMetricsService,
    private readonly restart: RestartStream,
    private readonly onEnd: (outcome: 'ok' | 'failed') => void,
  ) {
    this.first = winner.result;
    ctx.signal.addEventListener('abort', this.onAbort, { once: true });
  }

  /** @inheritdoc */
  async *[Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    try {
      for (;;) {
        const cut = yield* this.relay();
        if (cut === undefined) {
          this.end('ok');
          return;
        }
        await this.resume(cut);
      }
    } finally {
      this.end('failed');
    }
  }

  /** Yields whole events; returns the error that cut the stream, or undefined at its regular end. */
  private async *relay(): AsyncGenerator<Uint8Array, unknown> {
    const { attempt, result } = this.winner;
    const resumedAfter = this.framer.lastId;
    const mismatch = this.findMismatch();
    let first = true;
    try {
      for await (const chunk of result.chunks) {
        if (mismatch !== undefined) {
          throw mismatch;
        }
        const events = this.framer.push(chunk);
        if (events.length === 0) {
          continue;
        }
        if (first && !isContiguous(resumedAfter, events)) {
          throw this.createCutError(new Error('resumed stream does not follow the last event'));
        }
        first = false;
        yield events;
      }
    } catch (err) {
      this.framer.discard();
      return err;
    }
    if (mismatch !== undefined) {
      return mismatch;
    }
    const rest = this.framer.finish();
    if (rest.length > 0) {
      yield rest;
    }
    attempt.succeed(result.load);
    return undefined;
  }

  /** Returns the error of an answer that does not go on with the first one; undefined if it does. */
  private findMismatch(): endpointError.EndpointError | undefined {
    const { attempt, result } = this.winner;
    const goesOn =
      result.status === this.first.status && mediaTypeOf(result) === mediaTypeOf(this.first);
    return goesOn
      ? undefined
      : new endpointError.EndpointError(
          'answer-mismatch',
          attempt.endpoint.name,
          true,
          result.status,
        );
  }

  private async resume(cause: unknown): Promise<void> {
    const { attempt } = this.winner;
    if (cause instanceof requestError.RequestError) {
      await attempt.fail('endpoint-error');
      throw cause;
    }
    const failure =
      cause instanceof endpointError.EndpointError ? cause.failure : 'connection-lost';
    this.tried.push(attempt.endpoint.name);
    await attempt.fail(failure);
    this.assertResumable(cause);
    this.resumeCount += 1;
    this.metrics.count('retry', { reason: 'stream-resumed' });
    this.winner = await this.restart(this.framer.lastId, this.tried);
  }

  private assertResumable(cause: unknown): void {
    if (this.ctx.signal.aborted) {
      throw this.ctx.signal.reason as Error;
    }
    const { repeatable, pool } = this.call;
    const fromStart = !this.framer.started;
    const resumable = pool.resumable && this.framer.lastId !== undefined;
    if (!repeatable || this.resumeCount >= MAX_RESUMES || !(fromStart || resumable)) {
      throw this.createCutError(cause);
    }
  }

  private createCutError(cause: unknown): requestError.RequestError {
    const message = `stream of stage ${this.call.stage} was cut: the received part is incomplete`;
    return new requestError.RequestError('stream-cut', message, {
      run: this.call.repeatable ? 'run' : 'unknown',
      retryAfter: RETRY_AFTER_MS,
      cause,
    });
  }

  private end(outcome: 'ok' | 'failed'): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.ctx.signal.removeEventListener('abort', this.onAbort);
    this.winner.attempt.cancel('cancelled');
    this.onEnd(outcome);
  }
}
