import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as connectionLimit from '../common/memory/ConnectionLimit.js';
import type * as memory from '../common/memory/Types.js';
import type * as commonTypes from '../common/Types.js';

/**
 * What the server waits for on a connection: `request` for the first byte of the next request, `body` for the rest of a
 * body, `answer` for its own answer. A head that has begun to arrive is in state `request`, too.
 */
export type ConnectionState = 'request' | 'body' | 'answer';

/** A request that was read completely, and what runs it. */
export interface ITurn {
  readonly req: http.IncomingMessage;
  readonly run: () => void;
  isStarted: boolean;
}

/** One connection of a caller, and what the server waits for on it. */
export interface ICallerConnection {
  readonly socket: net.Socket;
  readonly address: string;
  /** Charges the head that is arriving. */
  readonly headLease: memory.IByteLease;
  /** Time since which the state lasts. */
  enteredAt: commonTypes.Millis;
  state: ConnectionState;
  /** Whether a request has arrived on the connection. */
  isUsed: boolean;
  /** Whether an answer was sent on the connection. */
  isAnswered: boolean;
  /** Whether a request has arrived before the answer to an earlier one, or bodies in very many small parts. */
  isOutOfStep: boolean;
  /** Small parts of bodies that have arrived. */
  smallParts: number;
  /** Requests that were taken and whose answer is not sent. */
  taken: number;
  /** Requests that were read completely: the one that runs, then those that wait for the answers before them. */
  readonly turns: ITurn[];
  /** Charges requests that were parsed but not taken. */
  aheadLease: memory.IByteLease | undefined;
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
  /** Request whose answer ends the connection. */
  last: http.IncomingMessage | undefined;
  /** Called when the caller makes no progress with a body. */
  onStalledBody: (() => void) | undefined;
  /** Response to bytes that are no request, sent after the answers to the requests before them. */
  rejection: string | undefined;
}

/** Whether no byte of a request has arrived since the last one. */
export function isIdle({ state, socket, bytesBefore }: ICallerConnection): boolean {
  return state === 'request' && socket.bytesRead === bytesBefore;
}

/** Whether a request that arrives now is taken: nothing is behind an answer or a rejection that ends the connection. */
export function takesRequests({ socket, last, rejection }: ICallerConnection): boolean {
  return (
    !socket.destroyed && !socket.writableEnded && last === undefined && rejection === undefined
  );
}

/** Whether the caller has got answers, and has sent each request after the answer to the one before. */
export function isInStep({ isAnswered, isOutOfStep }: ICallerConnection): boolean {
  return isAnswered && !isOutOfStep;
}

/** Returns the state of a connection for the choice of one that gives way. */
export function viewOf(
  connection: ICallerConnection,
): connectionLimit.IConnectionView & Pick<ICallerConnection, 'socket'> {
  const { socket, address, state, isUsed, enteredAt } = connection;
  return {
    socket,
    address,
    isUnfinished: state === 'body' || (state === 'request' && !isIdle(connection)),
    isAnswering: state === 'answer',
    isUsed,
    since: enteredAt,
  };
}
