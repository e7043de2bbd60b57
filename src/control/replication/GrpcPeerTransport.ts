import * as grpc from '@grpc/grpc-js';
import type * as commonTypes from '../../common/Types.js';
import * as peerClients from '../../common/wire/PeerClients.js';
import type * as types from './Types.js';
import * as wireCodec from './WireCodec.js';

const EXCHANGE_PATH = '/anvildeck.replication.Replication/Exchange';
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const MIN_RECONNECT_BACKOFF_MS = 50;
const MAX_RECONNECT_BACKOFF_MS = 1000;

/** gRPC definition of the replication service. */
const SERVICE: grpc.ServiceDefinition = {
  exchange: {
    path: EXCHANGE_PATH,
    requestStream: false,
    responseStream: false,
    requestSerialize: (req: types.IPeerRequest) => Buffer.from(wireCodec.encodeRequest(req)),
    requestDeserialize: wireCodec.decodeRequest,
    responseSerialize: (res: types.IPeerResponse) => Buffer.from(wireCodec.encodeResponse(res)),
    responseDeserialize: wireCodec.decodeResponse,
  },
};

/** Options with which a gRPC server accepts messages of up to 16 MiB from peers. */
export const SERVER_OPTIONS: grpc.ServerOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
};

const EXCHANGE: peerClients.IUnaryMethod<types.IPeerRequest, types.IPeerResponse> = {
  path: EXCHANGE_PATH,
  serialize: (req) => Buffer.from(wireCodec.encodeRequest(req)),
  deserialize: wireCodec.decodeResponse,
};

const CLIENT_OPTIONS: grpc.ClientOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': MIN_RECONNECT_BACKOFF_MS,
  'grpc.min_reconnect_backoff_ms': MIN_RECONNECT_BACKOFF_MS,
  'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_BACKOFF_MS,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_retries': 0,
};

/**
 * Carries requests between replicas over gRPC. The caller owns the server, and binds it with the credentials from
 * the settings.
 *
 * @example
 * const server = new grpc.Server(SERVER_OPTIONS);
 * const transport = new GrpcPeerTransport(server, grpc.credentials.createSsl(ca, key, cert), clock);
 */
export class GrpcPeerTransport implements types.IPeerTransport {
  private readonly clients: peerClients.PeerClients;

  private handler: types.PeerHandler | undefined;

  /** Adds the replication service to `server`; `credentials` are used for calls to peers. */
  constructor(
    server: grpc.Server,
    credentials: grpc.ChannelCredentials,
    clock: commonTypes.IClock,
  ) {
    this.clients = new peerClients.PeerClients(credentials, CLIENT_OPTIONS, clock);
    server.addService(SERVICE, {
      exchange: (
        call: grpc.ServerUnaryCall<types.IPeerRequest, types.IPeerResponse>,
        callback: grpc.sendUnaryData<types.IPeerResponse>,
      ) => {
        this.handleRequest(call.request).then(
          (res) => callback(null, res),
          (err: Error) => callback({ code: grpc.status.UNAVAILABLE, details: err.message }),
        );
      },
    });
  }

  /** @inheritdoc */
  call(
    address: string,
    req: types.IPeerRequest,
    timeout: commonTypes.Millis,
  ): Promise<types.IPeerResponse> {
    return this.clients.call(EXCHANGE, address, req, timeout);
  }

  /** @inheritdoc */
  serve(handler: types.PeerHandler): commonTypes.IDisposable {
    this.handler = handler;
    return {
      dispose: () => {
        this.handler = undefined;
      },
    };
  }

  /** @inheritdoc */
  dispose(): void {
    this.handler = undefined;
    this.clients.dispose();
  }

  private handleRequest(req: types.IPeerRequest): Promise<types.IPeerResponse> {
    if (this.handler === undefined) {
      return Promise.reject(new Error('the replica has stopped'));
    }
    return this.handler(req);
  }
}
