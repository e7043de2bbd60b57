import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import type * as types from './Types.js';

/** One queued request of a pool. Its promise settles once: with a slot, a refusal or its abort reason. */
export class Waiter implements types.IWaiter {
  /** Resolves with the slot; rejects when the request is refused or aborted. */
  readonly permit: Promise<entryTypes.IPermit>;

  private resolve!: (permit: entryTypes.IPermit) => void;

  private reject!: (err: unknown) => void;

  private wasCancelled = false;

  private readonly onAbort = (): void => this.cancel();

  /** Queues a stage of the request; `onCancelled` is called when the request's signal aborts. */
  constructor(
    private readonly ctx: entryTypes.IRequestContext,
    private readonly stageWork: entryTypes.IStageWork,
    private readonly onCancelled: (waiter: Waiter) => void,
  ) {
    this.permit = new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    ctx.signal.addEventListener('abort', this.onAbort, { once: true });
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

  /** Kind of work, under which its latency is recorded. */
  get key(): string {
    return this.stageWork.key;
  }

  /** @inheritdoc */
  get cancelled(): boolean {
    return this.wasCancelled;
  }

  /** Resolves the promise with a slot. */
  grant(permit: entryTypes.IPermit): void {
    this.ctx.signal.removeEventListener('abort', this.onAbort);
    this.resolve(permit);
  }

  /** Rejects the promise with `err`. */
  refuse(err: unknown): void {
    this.ctx.signal.removeEventListener('abort', this.onAbort);
    this.reject(err);
  }

  private cancel(): void {
    this.wasCancelled = true;
    this.onCancelled(this);
    this.reject(this.ctx.signal.reason);
  }
}
