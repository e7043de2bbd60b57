import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** One request on its way: its route, its time, and whether it is over. */
export class RequestScope {
  private readonly cleanups = new Set<() => void>();

  private over = false;

  private readonly timer: commonTypes.IDisposable;

  /** Ends by itself with the caller's connection or the request's time. */
  constructor(
    readonly request: types.IIncomingRequest,
    readonly route: routing.IRoute,
    readonly service: string,
    readonly workspace: routing.IWorkspaceKeys | undefined,
    readonly responder: types.IResponder,
    private readonly clock: commonTypes.IClock,
    onTimeout: (scope: RequestScope) => void,
  ) {
    const patience = request.callerTimeout ?? Number.POSITIVE_INFINITY;
    this.deadline = request.arrivedAt + Math.min(patience, route.timeout);
    this.timer = clock.setTimer(this.timeLeft, () => {
      if (!this.over) {
        onTimeout(this);
        this.finish();
      }
    });
    responder.onDisconnect(() => this.finish());
  }

  /** Moment at which the caller or the route gives up, monotonic. */
  readonly deadline: commonTypes.Millis;

  /** Whether an endpoint that was asked before may have run the request. */
  mayHaveRun = false;

  /** Sendings that are not over. */
  attemptsInFlight = 0;

  /** Whether a part of an answer was passed on. */
  responseStarted = false;

  /** Sendings so far. */
  attemptCount = 0;

  /** Rank of the request. */
  get priority(): number {
    return this.workspace?.priority ?? this.route.priority;
  }

  /** Whether the request is answered, or nobody waits for it. */
  get isOver(): boolean {
    return this.over;
  }

  /** Whether it is certain that no endpoint ran the request, and none will. */
  get isNotRun(): boolean {
    return !this.mayHaveRun && this.attemptsInFlight === 0;
  }

  /** Time until the deadline. */
  get timeLeft(): commonTypes.Millis {
    return Math.max(0, this.deadline - this.clock.monotonic());
  }

  /** Time since the arrival. */
  get age(): commonTypes.Millis {
    return this.clock.monotonic() - this.request.arrivedAt;
  }

  /** Runs `cleanup` when the request ends; the result takes it back. */
  onFinish(cleanup: () => void): () => void {
    if (this.over) {
      cleanup();
      return () => {};
    }
    this.cleanups.add(cleanup);
    return () => this.cleanups.delete(cleanup);
  }

  /** Ends the request: whatever still runs for it is stopped. */
  finish(): void {
    if (this.over) {
      return;
    }
    this.over = true;
    this.timer.dispose();
    const cleanups = [...this.cleanups];
    this.cleanups.clear();
    cleanups.forEach((cleanup) => cleanup());
  }
}
