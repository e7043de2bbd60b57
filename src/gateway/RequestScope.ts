import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** State of one open request: its route, deadline and attempts, and the cleanup that runs when it ends. */
export class RequestScope {
  private readonly cleanups = new Set<() => void>();

  private over = false;

  private readonly timer: commonTypes.IDisposable;

  /**
   * Ends by itself when the caller disconnects, or when the deadline passes. `onDisconnect` or `onTimeout` is called
   * first; `onTimeout` can still send a response.
   */
  constructor(
    readonly request: types.IIncomingRequest,
    readonly route: routing.IRoute,
    readonly service: string,
    readonly workspace: routing.IWorkspaceKeys | undefined,
    readonly responder: types.IResponder,
    private readonly clock: commonTypes.IClock,
    onTimeout: (scope: RequestScope) => void,
    onDisconnect: (scope: RequestScope, cause: types.DisconnectCause) => void,
  ) {
    const callerTimeout = request.callerTimeout ?? Number.POSITIVE_INFINITY;
    this.deadline = request.arrivedAt + Math.min(callerTimeout, route.timeout);
    this.timer = clock.setTimer(this.timeLeft, () => {
      if (!this.over) {
        onTimeout(this);
        this.finish();
      }
    });
    responder.onDisconnect((cause) => {
      if (!this.over) {
        onDisconnect(this, cause);
        this.finish();
      }
    });
  }

  /** Time, on the monotonic clock, at which the timeout of the caller or of the route expires, whichever is earlier. */
  readonly deadline: commonTypes.Millis;

  /** Whether an endpoint of an earlier attempt may have executed the request. */
  mayHaveRun = false;

  /** Attempts in progress. */
  attemptsInFlight = 0;

  /** Whether the head of a response was sent to the caller, so that no other response can be sent. */
  responseStarted = false;

  /** Attempts started so far, including those that an endpoint rejected. */
  attemptCount = 0;

  /** Priority level of the request: that of the workspace, else that of the route; 0 is the most urgent. */
  get priority(): number {
    return this.workspace?.priority ?? this.route.priority;
  }

  /** Whether the request has ended: the response was sent, the caller disconnected, or the deadline passed. */
  get isFinished(): boolean {
    return this.over;
  }

  /** Whether it is certain that no endpoint has executed the request and no attempt in progress will. */
  get isNotRun(): boolean {
    return !this.mayHaveRun && this.attemptsInFlight === 0;
  }

  /** Time until the deadline; 0 once it has passed. */
  get timeLeft(): commonTypes.Millis {
    return Math.max(0, this.deadline - this.clock.monotonic());
  }

  /** Time since the request arrived. */
  get age(): commonTypes.Millis {
    return this.clock.monotonic() - this.request.arrivedAt;
  }

  /**
   * Registers `cleanup` to run when the request ends, and returns a function that unregisters it. Runs `cleanup` at
   * once if the request has already ended.
   */
  onFinish(cleanup: () => void): () => void {
    if (this.over) {
      cleanup();
      return () => {};
    }
    this.cleanups.add(cleanup);
    return () => this.cleanups.delete(cleanup);
  }

  /** Ends the request and runs the registered cleanups once, which cancel its calls; later calls have no effect. */
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
