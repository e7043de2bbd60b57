import type * as net from 'node:net';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';

/** Timers run in the next turn of the event loop at the earliest, when connections that were closed are freed. */
const STOP_ALL_MS = 1;
/** Connections that are started again in a turn; each may bring some 400 requests at once. */
const STARTED_A_TURN = 4;

/** Components that it uses. */
export interface IStoppedReadingDependencies {
  readonly clock: commonTypes.IClock;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * Connections from which nothing is read. Node resumes a socket by itself after requests and answers; one that is
 * stopped here stays so until it is started.
 *
 * @example
 * reading.stop(socket);
 * reading.start(socket);
 */
export class StoppedReading implements commonTypes.IDisposable {
  private readonly stopped = new Map<net.Socket, () => void>();

  /** Connections that are stopped for a moment. */
  private readonly paused = new Set<net.Socket>();

  private timer: commonTypes.IDisposable | undefined;

  /** Stops nothing yet. */
  constructor(private readonly deps: IStoppedReadingDependencies) {}

  /** Stops to read from a connection. */
  stop(socket: net.Socket): void {
    this.paused.delete(socket);
    if (!this.stopped.has(socket)) {
      const pause = (): void => {
        socket.pause();
      };
      this.stopped.set(socket, pause);
      socket.on('resume', pause);
      pause();
    }
  }

  /** Reads from a connection again, if it was stopped. */
  start(socket: net.Socket): void {
    const pause = this.stopped.get(socket);
    if (pause !== undefined) {
      this.stopped.delete(socket);
      this.paused.delete(socket);
      socket.off('resume', pause);
      socket.resume();
    }
  }

  /** Forgets a connection that has closed. */
  remove(socket: net.Socket): void {
    this.stopped.delete(socket);
    this.paused.delete(socket);
  }

  /**
   * Stops `sockets` until what closed ones held is freed. They are started again a few in each turn, the newest first: most
   * of a crowd came before, and a caller that waited long has gone.
   */
  stopAll(sockets: Iterable<net.Socket>): void {
    [...sockets]
      .filter((socket) => !this.stopped.has(socket))
      .forEach((socket) => {
        this.stop(socket);
        this.paused.add(socket);
      });
    if (this.timer === undefined) {
      this.deps.metrics.count('reading_stopped', { door: 'callers' });
      this.schedule();
    }
  }

  private schedule(): void {
    this.timer = this.deps.clock.setTimer(STOP_ALL_MS, () => {
      this.timer = undefined;
      [...this.paused].slice(-STARTED_A_TURN).forEach((socket) => this.start(socket));
      if (this.paused.size > 0) {
        this.schedule();
      }
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer?.dispose();
  }
}
