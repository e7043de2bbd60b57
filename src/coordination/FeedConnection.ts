import * as grpc from '@grpc/grpc-js';
import type * as commonTypes from '../common/Types.js';
import * as feedCodec from './FeedCodec.js';
import type * as types from './Types.js';

/** Between two tries of gRPC to connect. */
const RECONNECT_MS = 100;
/** Longest message: a configuration of the largest size, and its envelope. */
const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;
const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': RECONNECT_MS,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
};

/** One connection to the feed of a control VM. */
export class FeedConnection implements commonTypes.IDisposable {
  private readonly client: grpc.Client;

  private readonly stream: grpc.ClientDuplexStream<types.UpMessage, types.DownMessage>;

  private readonly opened: commonTypes.Millis;

  private heard: commonTypes.Millis | undefined;

  private firstEndReason: string | undefined;

  /** Connects to `ip:port`; `onMessage` takes what arrives before the end, `onEnd` is called once. */
  constructor(
    readonly address: string,
    private readonly clock: commonTypes.IClock,
    onMessage: (message: types.DownMessage) => void,
    private readonly onEnd: () => void = () => {},
  ) {
    this.opened = clock.monotonic();
    this.client = new grpc.Client(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS);
    this.stream = this.client.makeBidiStreamRequest(
      feedCodec.FEED_PATH,
      feedCodec.encode,
      feedCodec.decodeDown,
    );
    this.stream.on('data', (message: types.DownMessage) => {
      this.heard = clock.monotonic();
      if (this.firstEndReason === undefined) {
        onMessage(message);
      }
    });
    this.stream.on('error', (err: Error) => this.end(err.message));
    this.stream.on('end', () => this.end('ended'));
  }

  /** Why the connection ended; undefined while it is open. */
  get endReason(): string | undefined {
    return this.firstEndReason;
  }

  /** Whether anything has arrived. */
  get hasReceived(): boolean {
    return this.heard !== undefined;
  }

  /** Time since it was opened. */
  get age(): commonTypes.Millis {
    return this.clock.monotonic() - this.opened;
  }

  /** Time since the last message, or since the opening. */
  get idleDuration(): commonTypes.Millis {
    return this.clock.monotonic() - (this.heard ?? this.opened);
  }

  /** Sends a message. */
  write(message: types.UpMessage): void {
    this.stream.write(message);
  }

  /** Notes why the connection is given up; the first reason counts. */
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
  }
}
