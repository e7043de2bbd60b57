import * as grpc from '@grpc/grpc-js';
import type * as types from '../Types.js';
import * as clientSockets from './ClientSockets.js';
import * as silenceOptions from './SilenceOptions.js';

/** A unary method with the codecs of its messages. */
export interface IUnaryMethod<Req, Res> {
  /** `/package.Service/Method`. */
  readonly path: string;
  readonly serialize: (value: Req) => Buffer;
  readonly deserialize: (bytes: Buffer) => Res;
}

interface IPeerClient {
  readonly client: grpc.Client;
  readonly sockets: clientSockets.ClientSockets;
  /** Number of calls that have not ended. */
  callCount: number;
  isClosed: boolean;
  readonly createdAt: types.Millis;
  /** Monotonic time of the last answer. */
  answeredAt: types.Millis;
  /** Monotonic time of the last call. */
  usedAt: types.Millis;
}

/** A channel that has not connected for this long, about its longest backoff, may have stopped trying. */
const MAX_UNREACHABLE_MS = 1000;
/** Clients without a call for this long are closed, such as those of members that were removed. */
const UNUSED_TIMEOUT_MS = 60_000;

/**
 * Makes unary calls to peers over one kept connection each. A call that ends by its deadline, while nothing else was
 * answered on the connection, replaces the connection: it may have gone silent without a reset, or still be opening to a
 * host that was down. So does a channel that has not connected for MAX_UNREACHABLE_MS.
 *
 * @example
 * const clients = new PeerClients(credentials, { 'grpc.enable_retries': 0 }, clock);
 * const answer = await clients.call(METHOD, '10.1.0.4:7140', req, 500);
 */
export class PeerClients implements types.IDisposable {
  private readonly clients = new Map<string, IPeerClient>();

  private isDisposed = false;

  /** Opens channels with `credentials` and `options`, which take precedence over SILENCE_OPTIONS. */
  constructor(
    private readonly credentials: grpc.ChannelCredentials,
    private readonly options: grpc.ClientOptions,
    private readonly clock: types.IClock,
  ) {}

  /** Calls the peer at `address` (`ip:port`); rejects with grpc.ServiceError, after `timeout` at the latest. */
  call<Req, Res>(
    method: IUnaryMethod<Req, Res>,
    address: string,
    req: Req,
    timeout: types.Millis,
  ): Promise<Res> {
    if (this.isDisposed) {
      return Promise.reject(new Error('transport closed'));
    }
    const peerClient = this.clientOf(address);
    const sentAt = this.clock.monotonic();
    peerClient.usedAt = sentAt;
    peerClient.callCount += 1;
    return new Promise((resolve, reject) => {
      const onEnd = (err: grpc.ServiceError | null, res?: Res): void => {
        peerClient.callCount -= 1;
        peerClient.sockets.stopWaiting();
        if (err === null) {
          peerClient.answeredAt = this.clock.monotonic();
        } else if (this.isLost(peerClient, err.code, sentAt)) {
          this.replace(address, peerClient);
        }
        PeerClients.freeSockets(peerClient);
        if (err !== null || res === undefined) {
          reject(err ?? new Error('empty response'));
        } else {
          resolve(res);
        }
      };
      peerClient.sockets.run(() =>
        peerClient.client.makeUnaryRequest(
          method.path,
          method.serialize,
          method.deserialize,
          req,
          { deadline: this.clock.now() + timeout },
          onEnd,
        ),
      );
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.isDisposed = true;
    [...this.clients].forEach(([address, peerClient]) => this.replace(address, peerClient));
  }

  /** Whether the connection for a call that was sent at `sentAt` and failed with `code` is to be replaced. */
  private isLost(
    { createdAt, answeredAt }: IPeerClient,
    code: grpc.status,
    sentAt: types.Millis,
  ): boolean {
    if (code === grpc.status.UNAVAILABLE) {
      const unreachable = this.clock.monotonic() - Math.max(createdAt, answeredAt);
      return unreachable > MAX_UNREACHABLE_MS;
    }
    return code === grpc.status.DEADLINE_EXCEEDED && answeredAt < sentAt;
  }

  /** Frees the sockets of a closed client once its calls have ended. */
  private static freeSockets({ isClosed, callCount, sockets }: IPeerClient): void {
    if (isClosed && callCount === 0) {
      sockets.dispose();
    }
  }

  private replace(address: string, silent: IPeerClient): void {
    if (this.clients.get(address) === silent) {
      this.clients.delete(address);
      Object.assign(silent, { isClosed: true });
      silent.client.close();
      PeerClients.freeSockets(silent);
    }
  }

  private clientOf(address: string): IPeerClient {
    const existing = this.clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    this.closeUnused();
    const now = this.clock.monotonic();
    const client = new grpc.Client(address, this.credentials, {
      ...silenceOptions.SILENCE_OPTIONS,
      ...this.options,
    });
    const created = {
      client,
      sockets: new clientSockets.ClientSockets(),
      callCount: 0,
      isClosed: false,
      createdAt: now,
      answeredAt: -Infinity,
      usedAt: now,
    };
    this.clients.set(address, created);
    return created;
  }

  private closeUnused(): void {
    const oldest = this.clock.monotonic() - UNUSED_TIMEOUT_MS;
    [...this.clients]
      .filter(([, { usedAt }]) => usedAt < oldest)
      .forEach(([address, unused]) => this.replace(address, unused));
  }
}
