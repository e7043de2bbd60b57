import * as grpc from '@grpc/grpc-js';
import type * as commonTypes from '../common/Types.js';
import * as clientSockets from '../common/wire/ClientSockets.js';
import * as feedCodec from './FeedCodec.js';
import type * as types from './Types.js';

/** Initial reconnect backoff of the gRPC channel. */
const RECONNECT_BACKOFF_MS = 100;
/** Maximum message size: a configuration of the maximum size with its JSON envelope. */
const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;
/** Control VMs send their state each second: one without a message for this long may not close its side either. */
const SILENCE_TIMEOUT_MS = 1500;
const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': RECONNECT_BACKOFF_MS,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
};

/** A client connection to the feed of one control VM, with a gRPC channel of its own. */
export class FeedConnection implements commonTypes.IDisposable {
  private readonly client: grpc.Client;

  private readonly sockets = new clientSockets.ClientSockets();

  private readonly stream: grpc.ClientDuplexStream<types.UpMessage, types.DownMessage>;

  private readonly openedAt: commonTypes.Millis;

  private lastReceivedAt: commonTypes.Millis | undefined;

  private firstEndReason: string | undefined;

  /** Connects to `address` (`ip:port`). `onMessage` receives messages until `end` is called; `onEnd` is called once. */
  constructor(
    readonly address: string,
    private readonly clock: commonTypes.IClock,
    private onMessage: (message: types.DownMessage) => void,
    private readonly onEnd: () => void = () => {},
  ) {
    this.openedAt = clock.monotonic();
    this.client = new grpc.Client(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS);
    this.stream = this.sockets.run(() =>
      this.client.makeBidiStreamRequest(
        feedCodec.FEED_PATH,
        feedCodec.encode,
        feedCodec.decodeDown,
      ),
    );
    this.stream.on('data', (message: types.DownMessage) => {
      this.lastReceivedAt = clock.monotonic();
      if (this.firstEndReason === undefined) {
        this.onMessage(message);
      }
    });
    this.stream.on('error', (err: Error) => {
      this.sockets.stopWaiting();
      this.end(err.message);
    });
    this.stream.on('end', () => this.end('ended'));
  }

  /** Reason that the connection ended, for logs; undefined while it is open. */
  get endReason(): string | undefined {
    return this.firstEndReason;
  }

  /** Whether any message has arrived. */
  get hasReceived(): boolean {
    return this.lastReceivedAt !== undefined;
  }

  /** Time since the connection was created. */
  get age(): commonTypes.Millis {
    return this.clock.monotonic() - this.openedAt;
  }

  /** Time since the last message arrived, or since the connection was created if none has. */
  get idleDuration(): commonTypes.Millis {
    return this.clock.monotonic() - (this.lastReceivedAt ?? this.openedAt);
  }

  /** Passes messages to `onMessage` from now on. */
  listen(onMessage: (message: types.DownMessage) => void): void {
    this.onMessage = onMessage;
  }

  /** Sends a message; gRPC queues it until the channel is connected. */
  write(message: types.UpMessage): void {
    this.stream.write(message);
  }

  /** Marks the connection as ended and calls `onEnd`. Only the first call has an effect; `dispose` closes the channel. */
  end(reason: string): void {
    if (this.firstEndReason === undefined) {
      this.firstEndReason = reason;
      this.onEnd();
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.stream.cancel();
    this.client.close();
    if (!this.hasReceived || this.idleDuration > SILENCE_TIMEOUT_MS) {
      this.sockets.dispose();
    }
  }
}
