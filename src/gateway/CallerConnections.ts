import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';

/** A connection between two requests closes this long after the idle timeout, for requests sent just before it. */
const CLOSE_DELAY_MS = 500;
/** Time that a caller has at least to read an answer that is complete close to the deadline of its request. */
const MIN_SEND_TIME_MS = 1000;
/** Time by which the server's check of header timeouts may be late. */
const HEAD_CHECK_MARGIN_MS = 1500;
/** While the server shuts down, a connection that has not been used yet may wait this long for its first request. */
const UNUSED_GRACE_MS = 1000;

/** Components that the connections use. */
export interface ICallerConnectionsDependencies {
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * What the server waits for on a connection: `request` for the first byte of the next request, `body` for the rest of a
 * body, `answer` for its own answer. A head that has begun to arrive is in state `request`, too.
 */
type ConnectionState = 'request' | 'body' | 'answer';

interface IConnection {
  readonly socket: net.Socket;
  state: ConnectionState;
  /** Whether a request has arrived on the connection. */
  isUsed: boolean;
  /** Requests that were read completely and whose answer is not sent. */
  waitingAnswers: number;
  /** Time of the last progress of the caller, or since which the state lasts. */
  since: commonTypes.Millis;
  /** Bytes that had arrived when state `request` began. */
  bytesBefore: number;
  /** Bytes that had arrived when the timer of state `request` expired last, or when the state began. */
  checkedBytes: number;
  timer: commonTypes.IDisposable | undefined;
  /** Latest request whose head has arrived. */
  latest: http.IncomingMessage | undefined;
  /** Called when the caller makes no progress with a body. */
  onStalledBody: (() => void) | undefined;
  /** Response to bytes that are no request, sent after the answers to the requests before them. */
  rejection: string | undefined;
}

/**
 * Enforces the idle timeout on the connections of callers. It limits the time for which a caller may be idle: between
 * two requests and within a body. It never runs while a request waits for its answer, or while the caller reads a complete
 * one: the deadline of the request limits that time. The server's header timeout limits heads.
 *
 * @example
 * const connections = new CallerConnections(deps, 15_000);
 * server.on('connection', (socket) => connections.add(socket));
 */
export class CallerConnections implements commonTypes.IDisposable {
  private readonly connections = new Map<net.Socket, IConnection>();

  /** Times by which callers must have read their answers. */
  private readonly sendDeadlines = new WeakMap<http.ServerResponse, commonTypes.Millis>();

  /** The timeouts apply until `setTimeouts` is called; `headerTimeout` is the one that the server enforces. */
  constructor(
    private readonly deps: ICallerConnectionsDependencies,
    private idleTimeout: commonTypes.Millis,
    private headerTimeout: commonTypes.Millis,
  ) {}

  /** Number of open connections. */
  get count(): number {
    return this.connections.size;
  }

  /** Starts to track a connection that has been accepted. */
  add(socket: net.Socket): void {
    const connection: IConnection = {
      socket,
      state: 'request',
      isUsed: false,
      waitingAnswers: 0,
      since: 0,
      bytesBefore: 0,
      checkedBytes: 0,
      timer: undefined,
      latest: undefined,
      onStalledBody: undefined,
      rejection: undefined,
    };
    this.connections.set(socket, connection);
    this.enterState(connection, 'request');
    socket.once('close', () => {
      connection.timer?.dispose();
      this.connections.delete(socket);
    });
  }

  /**
   * Applies changed timeouts to open connections. A longer idle timeout counts from the caller's last progress; a shorter one
   * from now at the earliest, because callers may rely on the longer one until they learn of the change.
   */
  setTimeouts(idleTimeout: commonTypes.Millis, headerTimeout: commonTypes.Millis): void {
    const { clock } = this.deps;
    this.headerTimeout = headerTimeout;
    const previous = this.idleTimeout;
    this.idleTimeout = idleTimeout;
    if (idleTimeout === previous) {
      return;
    }
    const latestDue = clock.monotonic() + idleTimeout;
    this.connections.forEach((connection) => {
      if (idleTimeout < previous) {
        Object.assign(connection, {
          since: Math.min(connection.since + previous, latestDue) - idleTimeout,
        });
      }
      this.startTimer(connection);
    });
  }

  /** Records that the head of a request has arrived. */
  recordHead(req: http.IncomingMessage): void {
    const connection = this.connections.get(req.socket);
    if (connection !== undefined) {
      connection.isUsed = true;
      connection.latest = req;
    }
  }

  /** Whether no head has arrived on the connection of `req` after its own. */
  isLatest(req: http.IncomingMessage): boolean {
    return this.connections.get(req.socket)?.latest === req;
  }

  /** Begins to wait for a body; `onStalled` is called if it makes no progress for the idle timeout. */
  startBody(req: http.IncomingMessage, onStalled: () => void): void {
    const connection = this.connections.get(req.socket);
    if (connection !== undefined) {
      connection.onStalledBody = onStalled;
      this.enterState(connection, 'body');
    }
  }

  /** Records that a part of the body has arrived. */
  recordProgress(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.since = this.deps.clock.monotonic();
    }
  }

  /** Records that a request was read completely; the connection waits for the answer until `res` is sent or closed. */
  startAnswer(req: http.IncomingMessage, res: http.ServerResponse, requestId: string): void {
    const { socket } = req;
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.waitingAnswers += 1;
    this.enterState(connection, 'answer');
    res.once('prefinish', () => this.limitSending(socket, res, requestId));
    res.once('close', () => this.endAnswer(connection));
  }

  /** Sets the time by which the caller must have read an answer; without it, the idle timeout limits a complete one. */
  setSendDeadline(res: http.ServerResponse, deadline: commonTypes.Millis): void {
    this.sendDeadlines.set(res, deadline);
  }

  /** Whether a request on the connection waits for its answer, or was read completely and is about to. */
  isAnswering(socket: net.Socket): boolean {
    const connection = this.connections.get(socket);
    const isWaiting = (connection?.waitingAnswers ?? 0) > 0;
    return isWaiting || (connection?.state === 'body' && connection.latest?.complete === true);
  }

  /** Whether a rejection was sent on the connection, or is to be: no later request on it is handled. */
  isRejecting(socket: net.Socket): boolean {
    return socket.writableEnded || this.connections.get(socket)?.rejection !== undefined;
  }

  /** Sends `response` and closes the connection, although the caller may keep its side open. */
  static endWith(socket: net.Socket, response: string): void {
    socket.end(response, () => socket.destroySoon());
  }

  /** Writes `response` and closes the connection once the requests that wait on it are answered. */
  rejectAfterAnswers(socket: net.Socket, response: string): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.rejection = response;
    }
  }

  /**
   * Closes the connections on which no request is open; those that were not used yet only after UNUSED_GRACE_MS, since
   * their first request may be on its way.
   */
  closeIdle(): void {
    const now = this.deps.clock.monotonic();
    [...this.connections.values()]
      .filter((connection) => CallerConnections.isIdle(connection))
      .filter(({ isUsed, since }) => isUsed || now - since > UNUSED_GRACE_MS)
      .forEach(({ socket }) => socket.destroy());
  }

  /** Closes every connection. */
  dispose(): void {
    [...this.connections.keys()].forEach((socket) => socket.destroy());
  }

  private static isIdle({ state, socket, bytesBefore }: IConnection): boolean {
    return state === 'request' && socket.bytesRead === bytesBefore;
  }

  private enterState(connection: IConnection, state: ConnectionState): void {
    Object.assign(connection, {
      state,
      since: this.deps.clock.monotonic(),
      bytesBefore: connection.socket.bytesRead,
      checkedBytes: connection.socket.bytesRead,
    });
    this.startTimer(connection);
  }

  private startTimer(connection: IConnection): void {
    connection.timer?.dispose();
    const { clock } = this.deps;
    const isTimed = connection.state !== 'answer';
    const delay = this.dueAt(connection) - clock.monotonic();
    Object.assign(connection, {
      timer: isTimed ? clock.setTimer(delay, () => this.expire(connection)) : undefined,
    });
  }

  private dueAt({ since, state }: IConnection): commonTypes.Millis {
    return since + this.idleTimeout + (state === 'request' ? CLOSE_DELAY_MS : 0);
  }

  private expire(connection: IConnection): void {
    if (this.dueAt(connection) > this.deps.clock.monotonic()) {
      this.startTimer(connection);
    } else if (connection.state === 'body') {
      connection.onStalledBody?.();
    } else if (connection.socket.bytesRead === connection.checkedBytes) {
      this.deps.metrics.count('idle_connections_closed');
      connection.socket.destroy();
    } else {
      this.checkAgain(connection);
    }
  }

  /**
   * Checks a connection again on which bytes have arrived but no head: the header timeout limits a head that has begun,
   * but nothing limits blank lines.
   */
  private checkAgain(connection: IConnection): void {
    const { clock } = this.deps;
    Object.assign(connection, {
      checkedBytes: connection.socket.bytesRead,
      since: clock.monotonic(),
      timer: clock.setTimer(this.headerTimeout + HEAD_CHECK_MARGIN_MS, () =>
        this.expire(connection),
      ),
    });
  }

  /** Closes the connection if the caller has not read a complete answer at the deadline of its request. */
  private limitSending(socket: net.Socket, res: http.ServerResponse, requestId: string): void {
    const { clock, logService, metrics } = this.deps;
    const now = clock.monotonic();
    const deadline = this.sendDeadlines.get(res) ?? now + this.idleTimeout;
    const timer = clock.setTimer(Math.max(MIN_SEND_TIME_MS, deadline - now), () => {
      logService.info('caller-not-reading', { request: requestId, unsent: socket.writableLength });
      metrics.count('caller_disconnects', { cause: 'not-reading' });
      socket.destroy();
    });
    res.once('close', () => timer.dispose());
  }

  private endAnswer(connection: IConnection): void {
    const { socket } = connection;
    Object.assign(connection, { waitingAnswers: connection.waitingAnswers - 1 });
    if (connection.waitingAnswers > 0 || socket.destroyed) {
      return;
    }
    if (connection.rejection !== undefined) {
      CallerConnections.endWith(socket, connection.rejection);
    } else if (connection.state === 'answer') {
      this.enterState(connection, 'request');
    }
  }
}
