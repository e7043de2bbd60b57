import * as http from 'node:http';
import * as responseEnd from '../../common/wire/ResponseEnd.js';
import * as responseGuard from '../../common/wire/ResponseGuard.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import * as chunkQueue from './ChunkQueue.js';
import * as endpointError from './EndpointError.js';
import * as loadReport from './LoadReport.js';

/** Limits of the endpoint client. */
export interface IHttpEndpointClientOptions {
  /** Maximum number of idle connections kept open to one endpoint. */
  readonly maxIdleSockets: number;
  /** Maximum size of the body of a complete (not streamed) answer, bytes. */
  readonly maxAnswerBytes: number;
}

/** Default limits of the endpoint client. */
export const DEFAULT_CLIENT_OPTIONS: IHttpEndpointClientOptions = {
  maxIdleSockets: 64,
  maxAnswerBytes: 16 * 1024 * 1024,
};

/** Queue length at which reading from the endpoint pauses until a slow caller catches up. */
const PAUSE_THRESHOLD_CHUNKS = 64;

/** Last event of a complete stream, as OpenAI-compatible engines write it. */
const END_MARK = 'data: [DONE]';

/** Bytes kept from the end of a stream; enough for the end mark and the line breaks after it. */
const END_MARK_WINDOW_BYTES = 32;

/** Maximum size of the body of a failure, which is read only to keep its connection. */
const MAX_DROPPED_BYTES = 65_536;

const MIN_SERVER_ERROR_STATUS = 500;
const REFUSAL_STATUSES = [429, 503];

/** A call whose request has been started. */
interface IPendingCall {
  readonly endpoint: configTypes.IEndpoint;
  readonly call: entryTypes.IEndpointCall;
  readonly req: http.ClientRequest;
  /** Whether a byte of the call may have reached the endpoint: true once its connection is open. */
  sent: boolean;
}

/** Head of a response, and how its body ends. */
interface IResponse {
  readonly res: http.IncomingMessage;
  readonly end: responseEnd.IResponseEnd;
}

/** Calls endpoints over HTTP/1.1 (RFC 9112) with Node's client; repeatable calls use persistent connections. */
export class HttpEndpointClient implements entryTypes.IEndpointClient {
  private readonly agent: http.Agent;

  /** Creates the client; connections are opened on demand. */
  constructor(private readonly options: IHttpEndpointClientOptions = DEFAULT_CLIENT_OPTIONS) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxFreeSockets: options.maxIdleSockets,
      scheduling: 'lifo',
    });
  }

  /** @inheritdoc */
  async call(
    endpoint: configTypes.IEndpoint,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): Promise<entryTypes.IEndpointAnswer> {
    const pendingCall = this.send(endpoint, call, signal);
    const response = await this.awaitHead(pendingCall, signal);
    this.checkHead(pendingCall, response.res);
    const body = await this.readWhole(pendingCall, response, signal);
    return { ...answerHead(response.res), body };
  }

  /** @inheritdoc */
  async stream(
    endpoint: configTypes.IEndpoint,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): Promise<entryTypes.IEndpointStream> {
    const pendingCall = this.send(endpoint, call, signal);
    const response = await this.awaitHead(pendingCall, signal);
    this.checkHead(pendingCall, response.res);
    return { ...answerHead(response.res), chunks: this.relay(pendingCall, response, signal) };
  }

  /** @inheritdoc */
  dispose(): void {
    this.agent.destroy();
  }

  private send(
    endpoint: configTypes.IEndpoint,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): IPendingCall {
    const separator = endpoint.address.lastIndexOf(':');
    const req = http.request({
      host: endpoint.address.slice(0, separator),
      port: Number(endpoint.address.slice(separator + 1)),
      method: call.method,
      path: call.path,
      headers: requestHeaders(call),
      agent: call.repeatable ? this.agent : false,
    });
    responseGuard.guardResponse(req);
    destroyOnAbort(req, signal);
    const pendingCall: IPendingCall = { endpoint, call, req, sent: false };
    req.once('socket', (socket) => {
      if (!socket.connecting) {
        pendingCall.sent = true;
        return;
      }
      socket.once('connect', () => {
        pendingCall.sent = true;
        socket.setNoDelay(true);
      });
    });
    req.end(call.body);
    return pendingCall;
  }

  private awaitHead(pendingCall: IPendingCall, signal: AbortSignal): Promise<IResponse> {
    const { req, endpoint } = pendingCall;
    return new Promise((resolve, reject) => {
      let hasHead = false;
      req.once('response', (res) => {
        hasHead = true;
        resolve({ res, end: new responseEnd.ResponseEnd(res) });
      });
      req.on('error', (err) => reject(failureOf(pendingCall, signal, err)));
      req.once('close', () => {
        if (!hasHead && signal.aborted && req.reusedSocket) {
          this.closeIdle(endpoint);
        }
        reject(failureOf(pendingCall, signal));
      });
    });
  }

  /** Closes the idle connections to an endpoint, which may have gone silent like the one of a call that was given up. */
  private closeIdle({ address }: configTypes.IEndpoint): void {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const name = this.agent.getName({ host, port: Number(address.slice(separator + 1)) });
    this.agent.freeSockets[name]?.forEach((socket) => socket.destroy());
  }

  /** Throws EndpointError on an answer that must not be passed on; on an id mismatch, also closes its connection. */
  private checkHead(pendingCall: IPendingCall, res: http.IncomingMessage): void {
    const status = res.statusCode ?? 0;
    if (res.headers['x-request-id'] !== pendingCall.call.callId) {
      res.destroy();
      throw this.statusError(pendingCall, 'answer-mismatch', status);
    }
    if (REFUSAL_STATUSES.includes(status)) {
      dropBody(res);
      throw this.statusError(pendingCall, 'endpoint-refused', status);
    }
    if (status >= MIN_SERVER_ERROR_STATUS) {
      dropBody(res);
      throw this.statusError(pendingCall, 'endpoint-error', status);
    }
  }

  private readWhole(
    pendingCall: IPendingCall,
    { res, end }: IResponse,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let receivedBytes = 0;
      res.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
        chunks.push(chunk);
        if (receivedBytes > this.options.maxAnswerBytes) {
          res.destroy(new Error('answer exceeds the size limit'));
        }
      });
      res.once('end', () => {
        if (end.isComplete) {
          resolve(chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks));
        } else {
          reject(failureOf(pendingCall, signal));
        }
      });
      res.once('error', (err) => reject(failureOf(pendingCall, signal, err)));
      res.once('close', () => {
        if (!res.complete) {
          reject(failureOf(pendingCall, signal));
        }
      });
    });
  }

  private relay(
    pendingCall: IPendingCall,
    { res, end }: IResponse,
    signal: AbortSignal,
  ): AsyncIterable<Uint8Array> {
    const queue = new chunkQueue.ChunkQueue(
      () => res.isPaused() && res.resume(),
      () => pendingCall.req.destroy(),
    );
    let tail: Buffer = Buffer.alloc(0);
    res.on('data', (chunk: Buffer) => {
      tail = chunk.length >= END_MARK_WINDOW_BYTES ? chunk : joinTail(tail, chunk);
      if (queue.push(chunk) >= PAUSE_THRESHOLD_CHUNKS) {
        res.pause();
      }
    });
    res.once('end', () => {
      if (!end.isComplete || (isEventStream(res) && !endsWithEndMark(tail))) {
        queue.fail(failureOf(pendingCall, signal));
      } else {
        queue.end();
      }
    });
    res.once('error', (err) => queue.fail(failureOf(pendingCall, signal, err)));
    res.once('close', () => {
      if (!res.complete) {
        queue.fail(failureOf(pendingCall, signal));
      }
    });
    return queue;
  }

  private statusError(
    pendingCall: IPendingCall,
    failure: entryTypes.EndpointFailure,
    status: number,
  ): endpointError.EndpointError {
    return new endpointError.EndpointError(failure, pendingCall.endpoint.name, true, status);
  }
}

/** Destroys the request when the signal aborts; removes its listener when the request closes. */
function destroyOnAbort(req: http.ClientRequest, signal: AbortSignal): void {
  const cancel = () => {
    req.destroy(signal.reason as Error);
  };
  if (signal.aborted) {
    cancel();
    return;
  }
  signal.addEventListener('abort', cancel);
  req.once('close', () => signal.removeEventListener('abort', cancel));
}

/** Reads a body without keeping it; closes its connection if the body is too long. */
function dropBody(res: http.IncomingMessage): void {
  let droppedBytes = 0;
  res.on('error', () => {});
  res.on('data', (chunk: Buffer) => {
    droppedBytes += chunk.length;
    if (droppedBytes > MAX_DROPPED_BYTES) {
      res.destroy();
    }
  });
}

function requestHeaders(call: entryTypes.IEndpointCall): http.OutgoingHttpHeaders {
  return {
    ...call.headers,
    'content-length': call.body.length,
    'x-request-id': call.callId,
    'x-anvildeck-budget-ms': Math.max(0, Math.floor(call.budget)),
  };
}

function answerHead(
  res: http.IncomingMessage,
): Pick<entryTypes.IEndpointStream, 'status' | 'headers' | 'load'> {
  const load = loadReport.parseLoadReport(singleHeader(res, loadReport.LOAD_HEADER));
  const contentType = singleHeader(res, 'content-type');
  return {
    status: res.statusCode ?? 0,
    headers: contentType === undefined ? {} : { 'content-type': contentType },
    load,
  };
}

function joinTail(tail: Buffer, chunk: Buffer): Buffer {
  return Buffer.concat([tail, chunk]).subarray(-END_MARK_WINDOW_BYTES);
}

function endsWithEndMark(tail: Buffer): boolean {
  return tail.subarray(-END_MARK_WINDOW_BYTES).toString('latin1').trimEnd().endsWith(END_MARK);
}

function isEventStream(res: http.IncomingMessage): boolean {
  return singleHeader(res, 'content-type')?.startsWith('text/event-stream') ?? false;
}

function singleHeader(res: http.IncomingMessage, name: string): string | undefined {
  const value = res.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function failureOf(
  pendingCall: IPendingCall,
  signal: AbortSignal,
  cause?: Error,
): endpointError.EndpointError {
  const { endpoint, sent } = pendingCall;
  if (signal.aborted) {
    return new endpointError.EndpointError('cancelled', endpoint.name, sent, undefined, { cause });
  }
  const failure = sent ? 'connection-lost' : 'connect-failed';
  return new endpointError.EndpointError(failure, endpoint.name, sent, undefined, { cause });
}
