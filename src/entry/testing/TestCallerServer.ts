import type * as http from 'node:http';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import * as systemClock from '../../common/SystemClock.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import * as callerServer from '../http/CallerServer.js';
import * as types from '../http/Types.js';
import * as requestScope from '../pipeline/RequestScope.js';
import type * as pipelineTypes from '../pipeline/Types.js';

/** Deadline of the requests. */
export const DEADLINE_MS = 500;

/** Answers one request. */
export type RunFn = (scope: requestScope.RequestScope) => Promise<pipelineTypes.CallerAnswer>;

/** A caller server on a loopback port whose requests a function of the test answers. */
export class TestCallerServer implements commonTypes.IDisposable {
  /** The server. */
  readonly server: callerServer.CallerServer;

  private readonly clock = new systemClock.SystemClock();

  private constructor(
    run: RunFn,
    settled: (string | undefined)[],
    options: Partial<types.ICallerOptions>,
  ) {
    const { clock } = this;
    const kind = { name: 'k', deadlineMs: DEADLINE_MS } as unknown as configTypes.IRequestKind;
    const requests = {
      ready: true,
      version: 1,
      accept: () => {
        const identity = { id: 'r', workspace: 'w', target: 't', fingerprint: 'f' };
        const scope = new requestScope.RequestScope(
          { ...identity, kind, deadlineMs: undefined },
          clock,
          clock.monotonic(),
        );
        return {
          scope,
          version: 1,
          run: () => run(scope),
          settle: (err: Error | undefined) => settled.push(err?.message),
        };
      },
    };
    this.server = new callerServer.CallerServer(
      requests,
      { ...types.DEFAULT_CALLER_OPTIONS, ...options },
      clock,
      new recordingLog.RecordingLogService(),
      new recordingMetrics.RecordingMetricsService(),
    );
  }

  /** Port on which it listens. */
  port = 0;

  /**
   * Starts a server whose requests are answered by `run`. `settled` receives the message of the error with which each was
   * settled, undefined for an answer.
   */
  static async start(
    run: RunFn,
    settled: (string | undefined)[] = [],
    options: Partial<types.ICallerOptions> = {},
  ): Promise<TestCallerServer> {
    const started = new TestCallerServer(run, settled, options);
    started.port = await started.server.listen('127.0.0.1', 0);
    return started;
  }

  /** Connections that the server holds. */
  countConnections(): Promise<number> {
    const { server: listening } = this.server as unknown as { server: http.Server };
    return new Promise((resolve) => {
      listening.getConnections((err, count) => resolve(count));
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.server.dispose();
  }
}
