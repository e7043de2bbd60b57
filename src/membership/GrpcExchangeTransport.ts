import * as grpc from '@grpc/grpc-js';
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

const METHOD_PATH = '/anvildeck.membership.Exchange/Swap';
const MIN_RECONNECT_MS = 100;
const MAX_RECONNECT_MS = 1_000;
const MAX_MESSAGE_BYTES = 64 * 1_024;

const CLIENT_OPTIONS: grpc.ClientOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': MIN_RECONNECT_MS,
  'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_retries': 0,
};

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

const SERVICE: grpc.ServiceDefinition = {
  swap: {
    path: METHOD_PATH,
    requestStream: false,
    responseStream: false,
    requestSerialize: asBuffer,
    requestDeserialize: (bytes: Buffer) => bytes,
    responseSerialize: asBuffer,
    responseDeserialize: (bytes: Buffer) => bytes,
  },
};

/**
 * Exchanges digests over gRPC. The caller owns the server and binds it with the credentials from the settings.
 *
 * @example
 * const transport = new GrpcExchangeTransport(server, credentials, clock);
 */
export class GrpcExchangeTransport implements types.IExchangeTransport {
  private readonly clients = new Map<string, grpc.Client>();

  private handler: ((digest: Uint8Array) => Uint8Array) | undefined;

  /** Adds the exchange service to `server`; `credentials` are used for calls to peers. */
  constructor(
    server: grpc.Server,
    private readonly credentials: grpc.ChannelCredentials,
    private readonly clock: commonTypes.IClock,
  ) {
    server.addService(SERVICE, {
      swap: (
        call: grpc.ServerUnaryCall<Buffer, Uint8Array>,
        callback: grpc.sendUnaryData<Uint8Array>,
      ) => this.answer(call.request, callback),
    });
  }

  /** @inheritdoc */
  exchange(
    peer: types.IPeer,
    digest: Uint8Array,
    timeout: commonTypes.Millis,
  ): Promise<Uint8Array> {
    const client = this.clientOf(peer.address);
    const deadline = this.clock.now() + timeout;
    return new Promise((resolve, reject) => {
      client.makeUnaryRequest(
        METHOD_PATH,
        asBuffer,
        (bytes: Buffer) => bytes,
        digest,
        { deadline },
        (err, res) => {
          if (err !== null || res === undefined) {
            reject(err ?? new Error('peer sent an empty response'));
          } else {
            resolve(res);
          }
        },
      );
    });
  }

  /** @inheritdoc */
  serve(handler: (digest: Uint8Array) => Uint8Array): void {
    this.handler = handler;
  }

  /** @inheritdoc */
  dispose(): void {
    this.handler = undefined;
    this.clients.forEach((client) => client.close());
    this.clients.clear();
  }

  private answer(digest: Buffer, callback: grpc.sendUnaryData<Uint8Array>): void {
    if (!this.handler) {
      callback({ code: grpc.status.UNAVAILABLE, details: 'the entry VM is shutting down' });
      return;
    }
    try {
      callback(null, this.handler(digest));
    } catch (err) {
      callback({ code: grpc.status.INVALID_ARGUMENT, details: (err as Error).message });
    }
  }

  private clientOf(address: string): grpc.Client {
    const existing = this.clients.get(address);
    if (existing) {
      return existing;
    }
    const client = new grpc.Client(address, this.credentials, CLIENT_OPTIONS);
    this.clients.set(address, client);
    return client;
  }
}
