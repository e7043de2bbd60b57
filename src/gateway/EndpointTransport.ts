import * as http from 'node:http';
import type * as stream from 'node:stream';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import * as responseEnd from '../common/wire/ResponseEnd.js';
import * as responseGuard from '../common/wire/ResponseGuard.js';
import * as responseHeadFinder from '../common/wire/ResponseHeadFinder.js';
import type * as endpointPaths from '../relay/EndpointPaths.js';
import * as relay from '../relay/Types.js';
import type * as endpointAgents from './EndpointAgents.js';
import * as types from './Types.js';

/** Timeout of a new connection if no other VM can open one instead. */
const CONNECT_TIMEOUT_MS = 500;
/** Timeout of a new direct connection, after which one through another VM is opened. */
const DIRECT_TIMEOUT_MS = 200;
/** The same while paths are lost. */
const DIRECT_TIMEOUT_IN_DOUBT_MS = 60;
/**
 * A connection that was used before may be dead if it brings no response for SILENCE_LATENCY_FACTOR times the usual
 * latency of its endpoint, within these bounds; for twice as long if other connections bring responses meanwhile.
 */
const MIN_SILENCE_MS = 400;
/** See MIN_SILENCE_MS. */
const MAX_SILENCE_MS = 1500;
/** See MIN_SILENCE_MS. */
const SILENCE_LATENCY_FACTOR = 3;
/**
 * A request that must not be repeated is sent on a connection that was idle for this long at most: one that has gone
 * silent would lose it.
 */
const MAX_IDLE_UNREPEATABLE_MS = 400;
/** Longest wait for the result of a check, for which a retry waits. */
const MAX_CHECK_WAIT_MS = 150;

/** One HTTP request. */
export interface IHttpCall {
  /** `ip:port` to which the request is sent. */
  readonly address: string;
  /** Whether the address is that of an endpoint, which other VMs reach as well. */
  readonly isEndpoint: boolean;
  readonly maxConnections: number;
  readonly options: Pick<http.RequestOptions, 'method' | 'path' | 'headers' | 'setHost'>;
  readonly body: Buffer | string | undefined;
  /**
   * Whether the request may still be sent; asked at its start and again when its connection is there. Absent means that
   * it always may.
   */
  readonly maySend?: () => boolean;
  /** Whether the request may be sent again if its connection is lost; absent means that it may. */
  readonly isRepeatable?: boolean;
  /** Marks of a ResponseHeadFinder, by which a second response is found in a body that ends with its connection. */
  readonly responseMarks?: readonly string[];
}

/** Head of a response. */
export interface IHttpResponse {
  readonly res: http.IncomingMessage;
  /** How the response ends. */
  readonly end: responseEnd.IResponseEnd;
  readonly via: relay.Via;
  /** The connection on which it arrived. */
  readonly connection: stream.Duplex;
  /** Whether the connection brought no response before, so that this one can belong to no earlier request. */
  readonly isFirst: boolean;
  /** Closes the connection once the response is read; no other request is sent on it. */
  retireConnection(): void;
}

/** A request in progress. */
export interface IExchange {
  /** Resolves once the response headers arrive; rejects with EndpointCallError. */
  readonly response: Promise<IHttpResponse>;
  /** Destroys the connection. */
  cancel(reason?: Error): void;
}

/**
 * Sends HTTP requests over kept connections. A request whose direct connection cannot be opened goes through another VM
 * instead, or the other way round, while nothing of it has left this VM.
 */
export class EndpointTransport implements commonTypes.IDisposable {
  private readonly subscription: commonTypes.IDisposable;

  /** Time, on the monotonic clock, at which a connection brought the head or the end of its last response. */
  private readonly heardAt = new WeakMap<stream.Duplex, commonTypes.Millis>();

  /** Time, on the monotonic clock, of the last response of an endpoint over a direct connection. */
  private directResponseAt = Number.NEGATIVE_INFINITY;

  /** Keeps its connections in `agents`. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly agents: endpointAgents.EndpointAgents,
    private readonly paths: endpointPaths.EndpointPaths,
    private readonly metrics: commonServices.IMetricsService,
  ) {
    // Idle connections may hang as well, and a request sent on one of them cannot be taken back.
    this.subscription = paths.onLoss(() => agents.closeIdle('direct'));
  }

  /** Starts a request; throws if it cannot be encoded. */
  start(call: IHttpCall): IExchange {
    let isCancelled = false;
    if (!maySend(call)) {
      return { response: Promise.reject(closedError()), cancel: () => {} };
    }
    const via = call.isEndpoint ? this.paths.nextVia(call.address) : 'direct';
    let req = this.createRequest(call, via);
    const first = this.exchange(call, req, via, () => isCancelled);
    const response = first.catch((err: unknown) => {
      const isUnsent = err instanceof types.EndpointCallError && !err.sent;
      const mayRepeat = call.isEndpoint && this.paths.canRelay && !isCancelled && maySend(call);
      if (!isUnsent || !mayRepeat) {
        throw err;
      }
      const other = via === 'direct' ? 'relay' : 'direct';
      req = this.createRequest(call, other);
      return this.exchange(call, req, other, () => isCancelled).catch((later: unknown) => {
        throw later instanceof types.EndpointCallError ? combine(err, later) : later;
      });
    });
    const cancel = (reason?: Error): void => {
      isCancelled = true;
      req.destroy(reason);
    };
    return { response, cancel };
  }

  /** Whether the path from this VM to an endpoint is lost, or may be because others are, as far as is known. */
  isPathInDoubt(address: string): boolean {
    return this.paths.isLost(address) || this.paths.hasLosses;
  }

  /**
   * Whether the path from this VM to an endpoint is lost, or may be because others are. Checked if it is not known, for
   * MAX_CHECK_WAIT_MS at most.
   */
  async hasLostPath(address: string): Promise<boolean> {
    if (!this.isPathInDoubt(address)) {
      await Promise.race([this.paths.check(address), this.clock.sleep(MAX_CHECK_WAIT_MS)]);
    }
    return this.isPathInDoubt(address);
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
    this.agents.dispose();
  }

  private createRequest(call: IHttpCall, via: relay.Via): http.ClientRequest {
    if (call.isRepeatable === false) {
      this.closeUnheard(call.address, via, this.clock.monotonic() - MAX_IDLE_UNREPEATABLE_MS);
    }
    const [host, port] = call.address.split(':');
    const req = http.request({
      ...call.options,
      host,
      port: Number(port),
      agent: this.agents.agentFor(call.address, call.maxConnections, via),
      maxHeaderSize: responseGuard.MAX_HEAD_BYTES,
    });
    responseGuard.guardResponse(req);
    return req;
  }

  /**
   * Sends a request. Resolves once the response headers arrive; rejects with EndpointCallError, which records whether
   * the request may have been sent.
   */
  private exchange(
    call: IHttpCall,
    req: http.ClientRequest,
    via: relay.Via,
    isCancelled: () => boolean,
  ): Promise<IHttpResponse> {
    return new Promise((resolve, reject) => {
      const startedAt = this.clock.monotonic();
      let sent = false;
      let timer: commonTypes.IDisposable | undefined;
      let isSettled = false;
      const fail = (err: Error): void => {
        timer?.dispose();
        if (isSettled) {
          return;
        }
        isSettled = true;
        if (sent && via === 'direct' && call.isEndpoint && !isCancelled()) {
          void this.paths.check(call.address);
        }
        reject(new types.EndpointCallError(err.message, sent, relay.isRefusal(err)));
      };
      req.once('socket', (socket) => {
        const recordSent = (): void => {
          if (!maySend(call)) {
            fail(closedError());
            // Without an error: the answer before it on the connection may not have been read to its end yet.
            req.destroy();
            return;
          }
          const sentAt = this.clock.monotonic();
          sent = true;
          timer?.dispose();
          if (call.isEndpoint && req.reusedSocket) {
            timer = this.clock.setTimer(this.silenceLimit(call.address), () => {
              timer = this.handleSilence(call.address, via, sentAt);
            });
          }
        };
        if (!socket.connecting) {
          if (via === 'relay') {
            this.paths.checkRelayed(call.address);
          }
          recordSent();
          return;
        }
        const timeout = this.directTimeout(call);
        timer = this.clock.setTimer(timeout, () =>
          req.destroy(new Error(`connection not established within ${timeout} ms`)),
        );
        socket.once('connect', recordSent);
      });
      req.on('error', fail);
      req.once('close', () => fail(new Error('connection closed before the response')));
      req.once('response', (res) => {
        timer?.dispose();
        isSettled = true;
        if (call.isEndpoint) {
          this.recordResponse(call.address, via, startedAt);
        }
        // Readers of the body receive its errors; without a reader, an unhandled error must not end the process.
        res.on('error', () => {});
        const end = new responseEnd.ResponseEnd(res);
        if (!responseEnd.isDelimited(res)) {
          responseHeadFinder.refuseSecondResponse(res, call.responseMarks, () =>
            this.metrics.count('second_answers', { via }),
          );
        }
        resolve({ res, end, via, ...this.recordUse(req, res) });
      });
      req.end(call.body);
    });
  }

  private recordUse(
    req: http.ClientRequest,
    res: http.IncomingMessage,
  ): Omit<IHttpResponse, 'res' | 'end' | 'via'> {
    const { socket: connection } = res;
    const isFirst = !this.heardAt.has(connection);
    const recordHeard = (): void => {
      this.heardAt.set(connection, this.clock.monotonic());
    };
    recordHeard();
    res.once('end', recordHeard);
    const retireConnection = (): void => {
      Object.assign(req, { shouldKeepAlive: false });
      if (res.readableEnded) {
        connection.destroy();
      }
    };
    return { connection, isFirst, retireConnection };
  }

  private silenceLimit(address: string): commonTypes.Millis {
    const usual = this.agents.latencyOf(address) ?? 0;
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, SILENCE_LATENCY_FACTOR * usual));
  }

  private recordResponse(address: string, via: relay.Via, startedAt: commonTypes.Millis): void {
    const now = this.clock.monotonic();
    this.agents.recordLatency(address, now - startedAt);
    if (via === 'direct') {
      this.directResponseAt = now;
    }
  }

  private directTimeout({ isEndpoint }: IHttpCall): commonTypes.Millis {
    if (!isEndpoint || !this.paths.canRelay) {
      return CONNECT_TIMEOUT_MS;
    }
    return this.paths.hasLosses ? DIRECT_TIMEOUT_IN_DOUBT_MS : DIRECT_TIMEOUT_MS;
  }

  /** Closes idle connections to an address that have brought nothing since `time`. */
  private closeUnheard(address: string, via: relay.Via, time: commonTypes.Millis): void {
    this.agents.closeStale(
      address,
      via,
      (connection) => (this.heardAt.get(connection) ?? Number.NEGATIVE_INFINITY) < time,
    );
  }

  /**
   * Acts on a connection that is silent: its path may be lost, or the VM through which it leads, or the idle connections
   * to its endpoint are as dead although new ones would work. Returns the timer of a
   * later check if other connections bring responses.
   */
  private handleSilence(
    address: string,
    via: relay.Via,
    sentAt: commonTypes.Millis,
  ): commonTypes.IDisposable | undefined {
    this.closeUnheard(address, via, sentAt);
    if (via === 'relay') {
      this.agents.closeIdle('relay');
    } else if (this.directResponseAt > sentAt) {
      return this.clock.setTimer(this.silenceLimit(address), () => this.paths.checkSilent(address));
    } else {
      this.paths.checkSilent(address);
    }
    return undefined;
  }
}

function maySend(call: IHttpCall): boolean {
  return call.maySend?.() ?? true;
}

function closedError(): types.EndpointCallError {
  return new types.EndpointCallError('endpoint takes no new requests', false);
}

/** Error of a request that could be sent on neither way, or was lost on the second one. */
function combine(
  first: types.EndpointCallError,
  second: types.EndpointCallError,
): types.EndpointCallError {
  const message = second.sent ? second.message : `${first.message}; ${second.message}`;
  const isRefused = first.isRefused && second.isRefused;
  return new types.EndpointCallError(message, second.sent, isRefused);
}
