import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';

/** Time that a caller has at least to read an answer that is complete close to the deadline of its request. */
const MIN_SEND_TIME_MS = 1000;

/** Components that the deadlines use. */
export interface ISendDeadlinesDependencies {
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** Times by which callers must have read their complete answers. */
export class SendDeadlines {
  private readonly deadlines = new WeakMap<http.ServerResponse, commonTypes.Millis>();

  /** Knows no deadline until `set` is called. */
  constructor(private readonly deps: ISendDeadlinesDependencies) {}

  /** Sets the deadline of an answer. */
  set(res: http.ServerResponse, deadline: commonTypes.Millis): void {
    this.deadlines.set(res, deadline);
  }

  /** Closes the connection if the caller has not read the complete answer at its deadline, or after `byDefault`. */
  start(
    socket: net.Socket,
    res: http.ServerResponse,
    requestId: string,
    byDefault: commonTypes.Millis,
  ): void {
    const { clock, logService, metrics } = this.deps;
    const now = clock.monotonic();
    const deadline = this.deadlines.get(res) ?? now + byDefault;
    const timer = clock.setTimer(Math.max(MIN_SEND_TIME_MS, deadline - now), () => {
      logService.info('caller-not-reading', { request: requestId, unsent: socket.writableLength });
      metrics.count('caller_disconnects', { cause: 'not-reading' });
      socket.destroy();
    });
    res.once('close', () => timer.dispose());
  }
}
