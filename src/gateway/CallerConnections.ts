import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as byteBudget from '../common/memory/ByteBudget.js';
import * as connectionLimit from '../common/memory/ConnectionLimit.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import * as callerConnection from './CallerConnection.js';
import * as sendDeadlines from './SendDeadlines.js';
import * as stoppedReading from './StoppedReading.js';

/** A connection between two requests closes this long after the idle timeout, for requests sent just before it. */
const CLOSE_DELAY_MS = 500;
/** Time by which the server's check of header timeouts may be late. */
const HEAD_CHECK_MARGIN_MS = 1500;
/** While the server shuts down, a connection that has not been used yet may wait this long for its first request. */
const UNUSED_GRACE_MS = 1000;

/** While more connections than these are open, the bytes of unfinished heads on later ones are charged. */
const UNWATCHED_CONNECTIONS = 128;
/** After more connections than CROWD were open, the fall to UNWATCHED_CONNECTIONS leaves much garbage. */
const CROWD_CONNECTIONS = 256;
/** Memory of a byte of an unfinished head, whose fields are kept as strings. */
const HEAD_BYTE_BYTES = 12;

/** Requests without an answer on one connection; no more are read until they are answered. */
const MAX_SENT_AHEAD = 32;
/** Requests without an answer that are taken on one connection while memory is short. */
const MAX_SENT_AHEAD_PRESSED = 2;
/** Requests sent ahead, on all connections, after which those in step are read for a moment and the others are not. */
const MAX_AHEAD_A_TURN = 64;
/** Requests that waited behind others and are run in a turn of the event loop, on all connections. */
const RUNS_A_TURN = 8;
/** Parts of a body of fewer bytes cost more to parse than to read. */
const SMALL_PART_BYTES = 64;
/** Small parts on one connection after which it is out of step. */
const MAX_SMALL_PARTS = 256;
/** Work of a small part, relative to that of a request. */
const SMALL_PART_WORK = 1 / 32;
/** Memory of a request that was parsed but not taken; Node keeps it as long as the answers before it. */
const REFUSED_REQUEST_BYTES = 8192;

/** Why a connection that is not proper is closed. */
export type CloseCause = 'sent-ahead' | 'not-reading' | 'too-many' | 'no-room';

/** Components that the connections use. */
export interface ICallerConnectionsDependencies {
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  readonly memory: byteBudget.ByteBudget;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
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
  private readonly connections = new Map<net.Socket, callerConnection.ICallerConnection>();

  private isCrowded = false;

  /** Connections with a request whose turn has come. */
  private readonly waiting: callerConnection.ICallerConnection[] = [];

  private areRunsDue = false;

  /** Requests sent ahead, and small parts as parts of one, since reading was last stopped. */
  private work = 0;

  private readonly sendDeadlines: sendDeadlines.SendDeadlines;

  private readonly reading: stoppedReading.StoppedReading;

  /** The timeouts apply until `setTimeouts` is called; `headerTimeout` is the one that the server enforces. */
  constructor(
    private readonly deps: ICallerConnectionsDependencies,
    private idleTimeout: commonTypes.Millis,
    private headerTimeout: commonTypes.Millis,
  ) {
    this.sendDeadlines = new sendDeadlines.SendDeadlines(deps);
    this.reading = new stoppedReading.StoppedReading(deps);
  }

  /** Number of open connections. */
  get count(): number {
    return this.connections.size;
  }

  /** Starts to track a connection that has been accepted, or closes it if no other can give way to it. */
  add(socket: net.Socket): void {
    if (!this.makeRoom()) {
      this.close(socket, 'too-many');
      return;
    }
    const connection: callerConnection.ICallerConnection = {
      socket,
      address: socket.remoteAddress ?? '',
      headLease: this.deps.memory.lease('connection', () => this.close(socket, 'no-room')),
      enteredAt: 0,
      state: 'request',
      isUsed: false,
      isAnswered: false,
      isOutOfStep: false,
      smallParts: 0,
      taken: 0,
      turns: [],
      aheadLease: undefined,
      waitingAnswers: 0,
      since: 0,
      bytesBefore: 0,
      checkedBytes: 0,
      timer: undefined,
      latest: undefined,
      last: undefined,
      onStalledBody: undefined,
      rejection: undefined,
    };
    this.connections.set(socket, connection);
    this.isCrowded ||= this.connections.size > CROWD_CONNECTIONS;
    this.enterState(connection, 'request');
    if (this.connections.size > UNWATCHED_CONNECTIONS) {
      // Before the parser's own listener, so that the bytes are charged before their fields are kept.
      socket.prependListener('data', () => this.chargeHead(connection));
    }
    socket.once('close', () => {
      connection.timer?.dispose();
      connection.headLease.dispose();
      connection.aheadLease?.dispose();
      this.reading.remove(socket);
      this.connections.delete(socket);
      this.recordClose();
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

  /** Closes a connection whose caller does not behave. */
  close(socket: net.Socket, cause: CloseCause): void {
    if (!socket.destroyed) {
      this.deps.logService.info('connection-closed', { cause, open: this.connections.size });
      this.deps.metrics.count('connections_closed', { door: 'callers', cause });
      this.deps.memory.markBusy();
      socket.destroy();
    }
  }

  /** Records that the head of a request has arrived; returns whether the request is taken. */
  take(req: http.IncomingMessage, res: http.ServerResponse): boolean {
    const connection = this.connections.get(req.socket);
    if (connection === undefined || req.socket.destroyed) {
      return false;
    }
    const maxAhead = this.deps.memory.isPressed ? MAX_SENT_AHEAD_PRESSED : MAX_SENT_AHEAD;
    if (!callerConnection.takesRequests(connection) || connection.taken >= maxAhead) {
      this.refuse(connection);
      return false;
    }
    if (connection.taken > 0) {
      connection.isOutOfStep = true;
      this.countWork(1);
    }
    connection.isUsed = true;
    connection.latest = req;
    connection.taken += 1;
    res.once('close', () => this.release(connection, req));
    return true;
  }

  /**
   * Calls `run` once the requests before `req` are answered. An answer that breaks off ends its connection, so that
   * nothing behind it may have run by then.
   */
  runInTurn(req: http.IncomingMessage, run: () => void): void {
    const connection = this.connections.get(req.socket);
    if (connection?.turns.push({ req, run, isStarted: false }) === 1) {
      CallerConnections.runFirst(connection);
    }
  }

  /** Lets the connection end with the answer to `req`, unless a later request was taken; returns whether it does. */
  endAfter(req: http.IncomingMessage): boolean {
    const connection = this.connections.get(req.socket);
    if (connection === undefined) {
      return true;
    }
    if (connection.latest === req) {
      connection.last = req;
    }
    return this.endsAfter(req);
  }

  /** Whether the connection ends with the answer to `req`. */
  endsAfter(req: http.IncomingMessage): boolean {
    return this.connections.get(req.socket)?.last === req;
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
  recordPart(socket: net.Socket, bytes: number): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.since = this.deps.clock.monotonic();
    if (bytes < SMALL_PART_BYTES) {
      connection.smallParts += 1;
      if (connection.smallParts > MAX_SMALL_PARTS) {
        connection.isOutOfStep = true;
        this.countWork(SMALL_PART_WORK);
      }
    }
  }

  /** Records that a request was read completely; the connection waits for the answer until `res` is sent or closed. */
  startAnswer(req: http.IncomingMessage, res: http.ServerResponse, requestId = ''): void {
    const { socket } = req;
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.waitingAnswers += 1;
    if (connection.taken >= MAX_SENT_AHEAD) {
      this.reading.stop(socket);
    }
    this.enterState(connection, 'answer');
    res.once('prefinish', () => this.sendDeadlines.start(socket, res, requestId, this.idleTimeout));
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
      .filter((connection) => callerConnection.isIdle(connection))
      .filter(({ isUsed, since }) => isUsed || now - since > UNUSED_GRACE_MS)
      .forEach(({ socket }) => socket.destroy());
  }

  /** Closes every connection. */
  dispose(): void {
    this.reading.dispose();
    [...this.connections.keys()].forEach((socket) => socket.destroy());
  }

  /**
   * Refuses a request that was parsed, but is not taken: the connection ends with the answers to those before it. At the
   * bound of memory it is closed.
   */
  private refuse(connection: callerConnection.ICallerConnection): void {
    const { socket } = connection;
    const { memory, metrics } = this.deps;
    metrics.count('requests_behind_end');
    const isEnding = connection.last !== undefined || connection.rejection !== undefined;
    const aheadLease =
      connection.aheadLease ?? memory.lease('ahead', () => this.close(socket, 'sent-ahead'));
    Object.assign(connection, {
      aheadLease,
      last: isEnding ? connection.last : connection.latest,
    });
    this.reading.stop(socket);
    this.countWork(1);
    if (!aheadLease.resize(aheadLease.bytes + REFUSED_REQUEST_BYTES)) {
      this.close(socket, 'sent-ahead');
    }
  }

  /**
   * Stops reading for a moment after many requests that were sent ahead, or small parts: Node parses all that one read
   * brought, and frees what a closed connection held at the end of its turn. Connections in step are read on.
   */
  private countWork(requests: number): void {
    this.work += requests;
    if (this.work >= MAX_AHEAD_A_TURN) {
      this.work = 0;
      const others = [...this.connections.values()].filter(
        (connection) => !callerConnection.isInStep(connection),
      );
      this.reading.stopAll(others.map(({ socket }) => socket));
    }
  }

  /** Ends what `take` began: the next request that waits may run. */
  private release(connection: callerConnection.ICallerConnection, req: http.IncomingMessage): void {
    const { socket, turns } = connection;
    Object.assign(connection, { taken: connection.taken - 1, isAnswered: true });
    const wasRunning = turns[0]?.req === req;
    if (wasRunning) {
      turns.shift();
    }
    if (socket.destroyed) {
      return;
    }
    if (wasRunning && turns.length > 0) {
      this.waiting.push(connection);
      this.scheduleRuns();
    }
    if (connection.last === req) {
      // Its answer may have begun before it became the last one.
      socket.destroySoon();
    } else if (connection.taken === 0 && callerConnection.takesRequests(connection)) {
      this.reading.start(socket);
    }
  }

  /** Runs the requests whose turn has come, a few in each turn of the event loop, so that others come between. */
  private scheduleRuns(): void {
    if (!this.areRunsDue) {
      this.areRunsDue = true;
      setImmediate(() => {
        this.areRunsDue = false;
        this.waiting.splice(0, RUNS_A_TURN).forEach(CallerConnections.runFirst);
        if (this.waiting.length > 0) {
          this.scheduleRuns();
        }
      });
    }
  }

  private static runFirst({ socket, turns }: callerConnection.ICallerConnection): void {
    const [turn] = turns;
    if (turn !== undefined && !turn.isStarted && !socket.destroyed) {
      turn.isStarted = true;
      turn.run();
    }
  }

  /** Whether one more connection may be open; closes another one for it if need be. */
  private makeRoom(): boolean {
    const { maxConnections, clock } = this.deps;
    if (this.connections.size < maxConnections) {
      return true;
    }
    const views = [...this.connections.values()].map(callerConnection.viewOf);
    const victim = connectionLimit.chooseVictim(views, clock.monotonic());
    if (victim === undefined) {
      return false;
    }
    this.close(victim.socket, 'too-many');
    this.connections.delete(victim.socket);
    return true;
  }

  private recordClose(): void {
    if (this.isCrowded && this.connections.size <= UNWATCHED_CONNECTIONS) {
      this.isCrowded = false;
      this.deps.memory.markBusy();
    }
  }

  private chargeHead({
    state,
    socket,
    bytesBefore,
    headLease,
  }: callerConnection.ICallerConnection): void {
    if (state === 'request') {
      const bytes = (socket.bytesRead - bytesBefore) * HEAD_BYTE_BYTES;
      if (!headLease.resize(bytes)) {
        this.close(socket, 'no-room');
      }
    }
  }

  private enterState(
    connection: callerConnection.ICallerConnection,
    state: callerConnection.ConnectionState,
  ): void {
    connection.headLease.resize(0);
    Object.assign(connection, {
      state,
      enteredAt: this.deps.clock.monotonic(),
      since: this.deps.clock.monotonic(),
      bytesBefore: connection.socket.bytesRead,
      checkedBytes: connection.socket.bytesRead,
    });
    this.startTimer(connection);
  }

  private startTimer(connection: callerConnection.ICallerConnection): void {
    connection.timer?.dispose();
    const { clock } = this.deps;
    const isTimed = connection.state !== 'answer';
    const delay = this.dueAt(connection) - clock.monotonic();
    Object.assign(connection, {
      timer: isTimed ? clock.setTimer(delay, () => this.expire(connection)) : undefined,
    });
  }

  private dueAt({ since, state }: callerConnection.ICallerConnection): commonTypes.Millis {
    return since + this.idleTimeout + (state === 'request' ? CLOSE_DELAY_MS : 0);
  }

  private expire(connection: callerConnection.ICallerConnection): void {
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
  private checkAgain(connection: callerConnection.ICallerConnection): void {
    const { clock } = this.deps;
    Object.assign(connection, {
      checkedBytes: connection.socket.bytesRead,
      since: clock.monotonic(),
      timer: clock.setTimer(this.headerTimeout + HEAD_CHECK_MARGIN_MS, () =>
        this.expire(connection),
      ),
    });
  }

  private endAnswer(connection: callerConnection.ICallerConnection): void {
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
