/** The feed between control VMs and entry VMs as a gRPC method; messages are JSON. */
import type * as grpc from '@grpc/grpc-js';
import type * as types from './Types.js';

/** Path of the method. */
export const FEED_PATH = '/anvildeck.coordination.Feed/Open';

/** Writes a message. */
export function encode(message: types.UpMessage | types.DownMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}

/** Reads a message of an entry VM. */
export function decodeUp(bytes: Buffer): types.UpMessage {
  return JSON.parse(bytes.toString('utf8')) as types.UpMessage;
}

/** Reads a message of a control VM. */
export function decodeDown(bytes: Buffer): types.DownMessage {
  return JSON.parse(bytes.toString('utf8')) as types.DownMessage;
}

/** The service as a gRPC server takes it. */
export const FEED_SERVICE: grpc.ServiceDefinition = {
  open: {
    path: FEED_PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: encode,
    requestDeserialize: decodeUp,
    responseSerialize: encode,
    responseDeserialize: decodeDown,
  },
};
