/**
 * Codec and service definition of the feed, a bidirectional gRPC stream between entry VMs and control VMs with JSON
 * messages.
 */
import type * as grpc from '@grpc/grpc-js';
import type * as types from './Types.js';

/** gRPC method path of the feed. */
export const FEED_PATH = '/anvildeck.coordination.Feed/Open';

/** Encodes a message as UTF-8 JSON. */
export function encode(message: types.UpMessage | types.DownMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}

/** Decodes a message of an entry VM; throws a `SyntaxError` when `bytes` are not JSON. The fields are not validated. */
export function decodeUp(bytes: Buffer): types.UpMessage {
  return JSON.parse(bytes.toString('utf8')) as types.UpMessage;
}

/**
 * Decodes a message of a control VM; throws a `SyntaxError` when `bytes` are not JSON. The fields are not validated.
 */
export function decodeDown(bytes: Buffer): types.DownMessage {
  return JSON.parse(bytes.toString('utf8')) as types.DownMessage;
}

/** Service definition of the feed for a gRPC server, whose messages to entry VMs are encoded before they are written. */
export const FEED_SERVICE: grpc.ServiceDefinition = {
  open: {
    path: FEED_PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: encode,
    requestDeserialize: decodeUp,
    responseSerialize: (bytes: Buffer) => bytes,
    responseDeserialize: decodeDown,
  },
};
