import type * as commonServices from '../../common/services/Services.js';
import * as requestError from '../../common/RequestError.js';
import * as endpointError from '../endpoints/EndpointError.js';
import type * as entryTypes from '../Types.js';
import type * as attemptRace from './AttemptRace.js';
import * as eventFramer from './EventFramer.js';

/** Most times that one stream goes on at another endpoint. */
const MAX_RESUMES = 3;
const RETRY_AFTER_MS = 1_000;
/** Header by which server-sent events resume (WHATWG HTML, 9.2.4). */
const LAST_EVENT_ID = 'last-event-id';

/** Starts the stream again elsewhere, after the event `lastId`, or from the start when it is undefined. */
export type RestartStream = (
  lastId: string | undefined,
  tried: readonly string[],
) => Promise<attemptRace.IWinner<entryTypes.IEndpointStream>>;

/** Headers that ask for the events after `lastId`. */
export function resumeHeaders(lastId: string | undefined): Readonly<Record<string, string>> {
  return lastId === undefined ? {} : { [LAST_EVENT_ID]: lastId };
}

/** Whether the first event of a resumed part is the one after `lastId`, so that none is lost or doubled. */
function follows(lastId: string | undefined, events: Buffer): boolean {
  const first = eventFramer.firstIdOf(events);
  if (lastId === undefined || first === undefined) {
    return true;
  }
  return Number(first) === Number(lastId) + 1;
}

/**
 * The chunks of one stage's stream. While nothing was passed on, a cut stream starts again elsewhere; after
 * that it goes on behind the last whole event where the pool can resume, and the first event of the new
 * part must be the next one; else the caller gets `stream-cut`.
 */
export class ResumingStream implements AsyncIterable<Uint8Array> {
  private readonly cutter = new eventFramer.EventFramer();

  private readonly tried: string[] = [];

  private resumes = 0;

  private ended = false;

  private readonly onAbort = (): void => this.end('failed');

  /** Relays `winner`; `onEnd` hears once how it ended. */
  constructor(
    private winner: attemptRace.IWinner<entryTypes.IEndpointStream>,
    private readonly call: entryTypes.IStageCall,
    private readonly ctx: entryTypes.IRequestContext,
    private readonly metrics: commonServices.IMetricsService,
    private readonly restart: RestartStream,
    private readonly onEnd: (outcome: 'ok' | 'failed') => void,
  ) {
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
        await this.goOn(cut);
      }
    } finally {
      this.end('failed');
    }
  }

  /** Passes on whole events; returns what cut the stream, or undefined at its end. */
  private async *relay(): AsyncGenerator<Uint8Array, unknown> {
    const { attempt, result } = this.winner;
    const resumedAfter = this.cutter.lastId;
    let first = true;
    try {
      for await (const chunk of result.chunks) {
        const events = this.cutter.push(chunk);
        if (events.length === 0) {
          continue;
        }
        if (first && !follows(resumedAfter, events)) {
          throw this.cutError(new Error('the resumed part does not follow'));
        }
        first = false;
        yield events;
      }
    } catch (err) {
      this.cutter.discard();
      return err;
    }
    const rest = this.cutter.finish();
    if (rest.length > 0) {
      yield rest;
    }
    attempt.succeed(result.load);
    return undefined;
  }

  private async goOn(cut: unknown): Promise<void> {
    const { attempt } = this.winner;
    if (cut instanceof requestError.RequestError) {
      await attempt.fail('endpoint-error');
      throw cut;
    }
    const failure = cut instanceof endpointError.EndpointError ? cut.failure : 'connection-lost';
    this.tried.push(attempt.endpoint.name);
    await attempt.fail(failure);
    this.checkMayGoOn(cut);
    this.resumes += 1;
    this.metrics.count('retry', { reason: 'stream-resumed' });
    this.winner = await this.restart(this.cutter.lastId, this.tried);
  }

  private checkMayGoOn(cut: unknown): void {
    if (this.ctx.signal.aborted) {
      throw this.ctx.signal.reason as Error;
    }
    const { repeatable, pool } = this.call;
    const fromStart = !this.cutter.started;
    const resumable = pool.resumable && this.cutter.lastId !== undefined;
    if (!repeatable || this.resumes >= MAX_RESUMES || !(fromStart || resumable)) {
      throw this.cutError(cut);
    }
  }

  private cutError(cause: unknown): requestError.RequestError {
    const message = `the stream of stage ${this.call.stage} was cut; what came is not whole`;
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
