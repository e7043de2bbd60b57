/**
 * Options of gRPC channels and servers that bound how long a connection may be silent. Without them a connection whose
 * peer or network lost it without a reset is kept, and used by each call, until the operating system gives up.
 */
import type * as grpc from '@grpc/grpc-js';

/** Interval of the HTTP/2 pings on a connection, also while it has no call: the first call would be lost otherwise. */
const PING_INTERVAL_MS = 2000;
/**
 * A connection whose peer does not answer a ping within this time is closed: longer than a busy event loop takes. With the
 * interval it leaves a second of the five within which an acknowledged configuration is in force.
 */
const PING_TIMEOUT_MS = 2000;
/** A server's own pings only free what a silent client holds, so that they may be rare. */
const SERVER_PING_INTERVAL_MS = 10_000;
/** See SERVER_PING_INTERVAL_MS. */
const SERVER_PING_TIMEOUT_MS = 5000;

/**
 * Options with which a gRPC channel closes a connection that has gone silent, at most 4 s later, and shares its
 * connections with no other channel: a channel that replaces another one must not be given its dead connection.
 */
export const SILENCE_OPTIONS: grpc.ChannelOptions = {
  'grpc.keepalive_time_ms': PING_INTERVAL_MS,
  'grpc.keepalive_timeout_ms': PING_TIMEOUT_MS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.use_local_subchannel_pool': 1,
};

/** Options with which a gRPC server closes, within 15 s, connections whose client is gone without a reset. */
export const SILENCE_SERVER_OPTIONS: grpc.ServerOptions = {
  'grpc.keepalive_time_ms': SERVER_PING_INTERVAL_MS,
  'grpc.keepalive_timeout_ms': SERVER_PING_TIMEOUT_MS,
};
