import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import type * as types from './Types.js';

/** One request in the queue of a pool: its promise settles once, by a place, a refusal or its own signal. */
export class Waiter implements types.IWaiter {
  /** Settles with the place. */
  readonly permit: Promise<entryTypes.IPermit>;

  private resolve!: (permit: entryTypes.IPermit) => void;

  private reject!: (err: unknown) => void;

  private left = false;

  private readonly abort = (): void => this.leave();

  /** Waits for `work`; `onGone` hears when the caller left. */
  constructor(
    private readonly ctx: entryTypes.IRequestContext,
    private readonly stageWork: entryTypes.IStageWork,
    private readonly onGone: (waiter: Waiter) => void,
  ) {
    this.permit = new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    ctx.signal.addEventListener('abort', this.abort, { once: true });
  }

  /** @inheritdoc */
  get workspace(): string {
    return this.ctx.workspace;
  }

  /** @inheritdoc */
  get patience(): configTypes.Patience {
    return this.ctx.kind.patience;
  }

  /** @inheritdoc */
  get latestStart(): commonTypes.Millis {
    return this.stageWork.latestStart;
  }

  /** @inheritdoc */
  get work(): commonTypes.Millis {
    return this.stageWork.expected;
  }

  /** Kind of work, for learning. */
  get key(): string {
    return this.stageWork.key;
  }

  /** @inheritdoc */
  get cancelled(): boolean {
    return this.left;
  }

  /** Gives the place. */
  grant(permit: entryTypes.IPermit): void {
    this.ctx.signal.removeEventListener('abort', this.abort);
    this.resolve(permit);
  }

  /** Refuses. */
  refuse(err: unknown): void {
    this.ctx.signal.removeEventListener('abort', this.abort);
    this.reject(err);
  }

  private leave(): void {
    this.left = true;
    this.onGone(this);
    this.reject(this.ctx.signal.reason);
  }
}
