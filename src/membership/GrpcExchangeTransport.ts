import * as grpc from '@grpc/grpc-js';
import type * as commonTypes from '../common/Types.js';
import * as peerClients from '../common/wire/PeerClients.js';
import type * as types from './Types.js';

const METHOD_PATH = '/anvildeck.membership.Exchange/Swap';
const MIN_RECONNECT_MS = 100;
const MAX_RECONNECT_MS = 1_000;
const MAX_MESSAGE_BYTES = 64 * 1_024;
/**
 * Interval of the pings on a connection: about that of the exchanges with one neighbour, which notice a silent connection
 * as well, so that the pings of all neighbours add little to the traffic of a VM.
 */
const PING_INTERVAL_MS = 10_000;

const CLIENT_OPTIONS: grpc.ClientOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': MIN_RECONNECT_MS,
  'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_retries': 0,
  'grpc.keepalive_time_ms': PING_INTERVAL_MS,
};

const SWAP: peerClients.IUnaryMethod<Uint8Array, Uint8Array> = {
  path: METHOD_PATH,
  serialize: asBuffer,
  deserialize: (bytes) => bytes,
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
  private readonly clients: peerClients.PeerClients;

  private handler: ((digest: Uint8Array) => Uint8Array) | undefined;

  /** Adds the exchange service to `server`; `credentials` are used for calls to peers. */
  constructor(
    server: grpc.Server,
    credentials: grpc.ChannelCredentials,
    clock: commonTypes.IClock,
  ) {
    this.clients = new peerClients.PeerClients(credentials, CLIENT_OPTIONS, clock);
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
    return this.clients.call(SWAP, peer.address, digest, timeout);
  }

  /** @inheritdoc */
  serve(handler: (digest: Uint8Array) => Uint8Array): void {
    this.handler = handler;
  }

  /** @inheritdoc */
  dispose(): void {
    this.handler = undefined;
    this.clients.dispose();
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
}
