import * as grpc from '@grpc/grpc-js';
import type * as control from '#wire/control.js';
import type * as commonTypes from '../../common/Types.js';
import * as controlMethods from '../../common/wire/ControlMethods.js';
import type * as messages from '../../common/wire/Messages.js';
import * as rpc from '../../common/wire/Rpc.js';
import * as tls from '../../common/wire/Tls.js';
import * as controlUnavailable from './ControlUnavailableError.js';
import * as rejected from './RejectedError.js';

const { METHODS } = controlMethods;
const ATTEMPT_TIMEOUT_MS = 2000;
const RETRY_PAUSE_MS = 50;
const MAX_RETRY_PAUSE_MS = 400;
const DEFAULT_TIMEOUT_MS = 10_000;

/** Statuses after which the server did not take the request up. */
const NOT_TAKEN: readonly grpc.status[] = [
  grpc.status.FAILED_PRECONDITION,
  grpc.status.RESOURCE_EXHAUSTED,
];

/** Statuses that another replica would answer alike. */
const FINAL: readonly grpc.status[] = [
  grpc.status.INVALID_ARGUMENT,
  grpc.status.UNAUTHENTICATED,
  grpc.status.PERMISSION_DENIED,
  grpc.status.UNIMPLEMENTED,
  grpc.status.NOT_FOUND,
];

/** Whom a client talks to and as whom. */
export interface IControlClientOptions {
  /** `ip:port` of each replica. */
  readonly addresses: readonly string[];
  readonly tls?: tls.TlsFiles;
  /** Key of an operator. */
  readonly operatorKey?: string;
}

/** How long a call may take. */
export interface ICallLimits {
  /** Milliseconds over all attempts. */
  readonly timeout?: commonTypes.Millis;
  readonly signal?: AbortSignal;
}

type Command = control.wire.Command.$Properties;
type Result = messages.Message<control.wire.Result.$Properties>;
type Query = control.wire.Query.$Properties;
type Answer = messages.Message<control.wire.Answer.$Properties>;

/**
 * Talks to the leader of the control group, whichever replica that is. Every command names itself (token,
 * submission id, sequence), so that sending it again when the answer was lost does nothing twice.
 *
 * @example
 * const client = new ControlClient({ addresses: ['127.0.0.1:7101'] }, clock);
 * const answer = await client.query({ status: {} });
 */
export class ControlClient implements commonTypes.IDisposable {
  private readonly clients: readonly grpc.Client[];

  private preferred = 0;

  /** Opens no connection until the first call. */
  constructor(
    private readonly options: IControlClientOptions,
    private readonly clock: commonTypes.IClock,
  ) {
    const credentials = tls.channelCredentials(options.tls);
    this.clients = options.addresses.map(
      (address) => new grpc.Client(address, credentials, rpc.CHANNEL_OPTIONS),
    );
  }

  /**
   * Puts a command into the log.
   *
   * @throws ControlUnavailableError, RejectedError.
   */
  async execute(command: Command, limits: ICallLimits = {}): Promise<Result> {
    const result = await this.call(METHODS.execute, command, limits);
    if (result.refusal !== null) {
      throw new rejected.RejectedError(result.refusal.code, result.refusal.message);
    }
    return result;
  }

  /**
   * Reads the state as a quorum confirms it.
   *
   * @throws ControlUnavailableError, RejectedError.
   */
  async query(query: Query, limits: ICallLimits = {}): Promise<Answer> {
    const answer = await this.call(METHODS.query, query, limits);
    if (answer.refusal !== null) {
      throw new rejected.RejectedError(answer.refusal.code, answer.refusal.message);
    }
    return answer;
  }

  /**
   * Calls any method on the leader, moving on to the next replica until one answers or time is up.
   *
   * @throws ControlUnavailableError, RejectedError.
   */
  async call<Req, Res>(
    method: rpc.IMethod<Req, Res>,
    req: Req,
    limits: ICallLimits = {},
  ): Promise<messages.Message<Res>> {
    const timeout = limits.timeout ?? DEFAULT_TIMEOUT_MS;
    const end = this.clock.monotonic() + timeout;
    let maybeApplied = false;
    let last: unknown;
    for (let attempt = 0; ; attempt += 1) {
      const left = end - this.clock.monotonic();
      if (left <= 0 || limits.signal?.aborted) {
        throw new controlUnavailable.ControlUnavailableError(describe(last), maybeApplied, last);
      }
      try {
        const options = { ...limits, timeout: Math.min(left, ATTEMPT_TIMEOUT_MS) };
        return await this.attempt(method, req, options);
      } catch (err) {
        last = err;
        const taken = this.handleFailure(err);
        maybeApplied = maybeApplied || taken;
      }
      await this.pause(attempt, Math.max(0, end - this.clock.monotonic()), limits.signal);
    }
  }

  /** Stream of updates from the leader; ends or throws when the leader goes. */
  watch(
    req: control.wire.WatchRequest.$Properties,
    signal: AbortSignal,
  ): AsyncIterable<messages.Message<control.wire.WatchUpdate.$Properties>> {
    return rpc.callStream(this.current(), METHODS.watch, req, {
      signal,
      metadata: this.metadata(),
    });
  }

  /** Turns to another replica: the one that an error names as leader, or the next. */
  switchReplica(err: unknown): void {
    const hint = (err as Partial<grpc.ServiceError>).metadata?.get('leader-address')[0];
    const at = this.options.addresses.indexOf(String(hint));
    this.preferred = at >= 0 ? at : (this.preferred + 1) % this.clients.length;
  }

  /** @inheritdoc */
  dispose(): void {
    this.clients.forEach((client) => client.close());
  }

  private attempt<Req, Res>(
    method: rpc.IMethod<Req, Res>,
    req: Req,
    options: rpc.ICallOptions,
  ): Promise<messages.Message<Res>> {
    return rpc.callUnary(this.current(), method, req, { ...options, metadata: this.metadata() });
  }

  /** Moves on after a failed attempt; true when the command may have been taken up all the same. */
  private handleFailure(err: unknown): boolean {
    const { code, details } = err as grpc.ServiceError;
    if (FINAL.includes(code)) {
      throw new rejected.RejectedError(grpc.status[code].toLowerCase(), details);
    }
    if (code !== grpc.status.RESOURCE_EXHAUSTED) {
      this.switchReplica(err);
    }
    return !NOT_TAKEN.includes(code);
  }

  private async pause(attempt: number, left: number, signal?: AbortSignal): Promise<void> {
    // A full round over the replicas comes before the first long pause.
    const round = Math.floor(attempt / this.clients.length);
    const pause = Math.min(RETRY_PAUSE_MS * 2 ** Math.min(round, 10), MAX_RETRY_PAUSE_MS, left);
    await this.clock.sleep(pause, signal).catch(() => {});
  }

  private current(): grpc.Client {
    const client = this.clients[this.preferred];
    if (client === undefined) {
      throw new RangeError('no address of a control replica is given');
    }
    return client;
  }

  private metadata(): grpc.Metadata {
    const metadata = new grpc.Metadata();
    if (this.options.operatorKey !== undefined) {
      metadata.set('authorization', `Bearer ${this.options.operatorKey}`);
    }
    return metadata;
  }
}

function describe(err: unknown): string {
  const reason = err instanceof Error ? err.message : 'no attempt was made';
  return `the control group gave no answer in time: ${reason}`;
}
