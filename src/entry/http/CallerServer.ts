import * as http from 'node:http';
import type * as stream from 'node:stream';
import * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import * as httpVersion from '../../common/wire/HttpVersion.js';
import type * as commonServices from '../../common/services/Services.js';
import type * as pipelineTypes from '../pipeline/Types.js';
import * as answers from './Answers.js';
import * as callerBody from './CallerBody.js';
import * as callerHeaders from './CallerHeaders.js';
import * as callerRoutes from './CallerRoutes.js';
import * as openAnswers from './OpenAnswers.js';
import type * as services from './Services.js';
import type * as types from './Types.js';

const DRAINING_RETRY_AFTER_MS = 1_000;
/** Interval between checks for requests that are not complete in time. */
const TIMEOUT_CHECK_MS = 500;

/** Code, status line and message for errors of the parser, by error code; any other error gives MALFORMED. */
const PARSER_ERRORS: Readonly<Record<string, IParserError>> = {
  HPE_HEADER_OVERFLOW: {
    code: 'bad-header',
    statusLine: '431 Request Header Fields Too Large',
    message: 'the headers are too large',
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    code: 'request-timeout',
    statusLine: '408 Request Timeout',
    message: 'the request was not complete in time; send it again',
  },
};
const MALFORMED: IParserError = {
  code: 'bad-header',
  statusLine: '400 Bad Request',
  message: 'the input is not an HTTP/1.1 request',
};

interface IParserError {
  readonly code: 'bad-header' | 'request-timeout';
  readonly statusLine: string;
  readonly message: string;
}

/** HTTP/1.1 server for callers; each request is handled by its own asynchronous task. */
export class CallerServer implements commonTypes.IDisposable {
  private readonly server: http.Server;

  private readonly openAnswers = new openAnswers.OpenAnswers();

  private draining = false;

  private inFlight = 0;

  private resolveDrain: (() => void) | undefined;

  /** Creates the server without opening a port; `listen` opens it. */
  constructor(
    private readonly requests: services.IRequestService,
    private readonly options: types.ICallerOptions,
    private readonly clock: commonTypes.IClock,
    private readonly log: commonServices.ILogService,
    private readonly metrics: commonServices.IMetricsService,
  ) {
    const { maxHeaderBytes, headersTimeout, requestTimeout, keepAliveTimeout } = options;
    this.server = http.createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout,
        requestTimeout,
        keepAliveTimeout,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      },
      (req, res) => {
        void this.serve(req, res);
      },
    );
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.refuseMalformed(err, socket);
    });
  }

  /** Starts listening and resolves with the bound port, which the system assigns when `port` is 0. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address ? address.port : port);
      });
    });
  }

  /** Rejects new requests and resolves once all requests in flight are answered and their connections closed. */
  async drain(): Promise<void> {
    this.draining = true;
    if (this.inFlight > 0) {
      await new Promise<void>((resolve) => {
        this.resolveDrain = resolve;
      });
    }
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      // Node counts a connection as idle only in the event loop turn after its answer was written.
      setImmediate(() => this.server.closeIdleConnections());
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const arrivalTime = this.clock.monotonic();
    const requestId = callerHeaders.requestIdOf(req);
    if (!this.openAnswers.add(req, res, () => this.onAnswerClosed())) {
      return;
    }
    this.inFlight += 1;
    // The 'close' handler deals with aborted connections; without a listener the 'error' event would throw.
    res.on('error', () => {});
    try {
      await this.handle(req, res, requestId, arrivalTime);
    } catch (err) {
      this.rejectUnaccepted(res, requestId, err);
    }
  }

  private async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    requestId: string,
    arrivalTime: commonTypes.Millis,
  ): Promise<void> {
    const method = req.method ?? 'GET';
    const route = callerRoutes.findRoute(method, req.url ?? '/');
    if (route.kind === 'health' || route.kind === 'ready') {
      this.answerHealth(res, route.kind);
      return;
    }
    if (this.draining) {
      const message = 'this VM is shutting down; send the request to another VM';
      throw new requestError.RequestError('draining', message, {
        run: 'not-run',
        retryAfter: DRAINING_RETRY_AFTER_MS,
      });
    }
    const headers = callerHeaders.readCallerHeaders(req, requestId);
    const body = await callerBody.readBody(req, this.options.maxBodyBytes);
    if (this.openAnswers.hasEnded(req.socket)) {
      return;
    }
    const { authorization, 'content-type': contentType } = req.headers;
    const request = { route, method, headers, contentType, authorization, body, arrivalTime };
    await this.run(this.requests.accept(request), res);
  }

  private answerHealth(res: http.ServerResponse, kind: 'health' | 'ready'): void {
    const ok = kind === 'health' || (this.requests.ready && !this.draining);
    const body = Buffer.from(
      JSON.stringify({ ok, draining: this.draining, config: this.requests.version }),
    );
    res.writeHead(ok ? 200 : 503, {
      'content-type': 'application/json',
      'content-length': body.length,
    });
    res.end(body);
  }

  private async run(accepted: services.IAcceptedRequest, res: http.ServerResponse): Promise<void> {
    const { scope } = accepted;
    res.once('close', () => {
      if (!res.writableFinished) {
        scope.cancelOnDisconnect();
      }
    });
    try {
      const answer = await accepted.run();
      await this.write(res, accepted, answer);
      accepted.settle(undefined);
    } catch (err) {
      const failure = this.toRequestError(err, scope.ctx.signal);
      this.countFailure(failure);
      accepted.settle(failure);
      answers.writeError(res, failure, { requestId: scope.ctx.id, version: accepted.version });
    } finally {
      scope.dispose();
    }
  }

  private async write(
    res: http.ServerResponse,
    accepted: services.IAcceptedRequest,
    answer: pipelineTypes.CallerAnswer,
  ): Promise<void> {
    const { ctx } = accepted.scope;
    const meta = { requestId: ctx.id, run: 'run', version: accepted.version } as const;
    if (answer.kind === 'whole') {
      answers.writeWholeAnswer(res, meta, answer.status, answer.contentType, answer.body);
      return;
    }
    if (!httpVersion.takesChunks(res.req)) {
      const body = await answers.readWhole(answer.chunks, ctx.signal);
      answers.writeWholeAnswer(res, meta, answer.status, answer.contentType, body);
      return;
    }
    const head = { ...answers.metaHeaders(meta), 'content-type': answer.contentType };
    res.writeHead(answer.status, { ...head, 'cache-control': 'no-cache' });
    res.flushHeaders();
    for await (const chunk of answer.chunks) {
      if (!res.write(chunk)) {
        await waitForDrain(res, ctx.signal);
      }
    }
    res.end();
  }

  /** Answers a request that failed before it was accepted. */
  private rejectUnaccepted(res: http.ServerResponse, requestId: string, err: unknown): void {
    const failure = this.toRequestError(err, undefined);
    this.countFailure(failure);
    this.log.info('refused', { request: requestId, reason: failure.code, param: failure.param });
    answers.writeError(res, failure, { requestId, version: this.requests.version });
  }

  private toRequestError(err: unknown, signal: AbortSignal | undefined): requestError.RequestError {
    if (err instanceof requestError.RequestError) {
      return err;
    }
    if (signal?.aborted && signal.reason instanceof requestError.RequestError) {
      return signal.reason;
    }
    const internalError = err instanceof Error ? err : new Error(String(err));
    this.log.error('internal', { reason: internalError.message, stack: internalError.stack });
    const message = 'internal error; the operator can find it in the log by the request id';
    return new requestError.RequestError('internal', message, { run: 'unknown', cause: err });
  }

  /**
   * Answers input that is not valid HTTP or not complete in time, after the requests before it, and closes the connection, since its framing is
   * lost.
   */
  private refuseMalformed(err: NodeJS.ErrnoException, socket: stream.Duplex): void {
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const { code, statusLine, message } = PARSER_ERRORS[err.code ?? ''] ?? MALFORMED;
    const failure = new requestError.RequestError(code, message, { run: 'not-run' });
    this.countFailure(failure);
    this.log.info('refused', { reason: failure.code, cause: err.code });
    const body = answers.errorBody(failure, callerHeaders.newRequestId());
    const head = [
      `HTTP/1.1 ${statusLine}`,
      'connection: close',
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(body)}`,
    ];
    this.openAnswers.endAfterAnswers(socket, `${head.join('\r\n')}\r\n\r\n${body}`);
  }

  private countFailure(err: requestError.RequestError): void {
    this.metrics.count('refused', { reason: err.code });
  }

  private onAnswerClosed(): void {
    this.inFlight -= 1;
    if (this.inFlight === 0) {
      this.resolveDrain?.();
    }
  }
}

/** Resolves when the write buffer of the answer is empty; rejects with the signal's reason on abort. */
function waitForDrain(res: http.ServerResponse, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const abort = () => {
      reject(signal.reason as Error);
    };
    if (signal.aborted) {
      abort();
      return;
    }
    signal.addEventListener('abort', abort, { once: true });
    res.once('drain', () => {
      signal.removeEventListener('abort', abort);
      resolve();
    });
  });
}
