import type * as grpc from '@grpc/grpc-js';
import * as feedCodec from './FeedCodec.js';
import type * as feedTraffic from './FeedTraffic.js';
import type * as types from './Types.js';

/** Server side of a gRPC stream of the feed; the messages that it sends are already encoded. */
export type ServerStream = grpc.ServerDuplexStream<types.UpMessage, Buffer>;

/** The messages of a control VM to one entry VM, whose bytes are counted until the socket accepts them. */
export class SessionStream {
  private queuedBytes = 0;

  private hasEnded = false;

  /** Sends to `stream` and counts in `traffic`. */
  constructor(
    private readonly stream: ServerStream,
    private readonly traffic: feedTraffic.FeedTraffic,
  ) {}

  /** Whether `end` was called. */
  get isEnded(): boolean {
    return this.hasEnded;
  }

  /** Encodes and sends a message. */
  write(message: types.DownMessage): void {
    this.traffic.recordEncoded(message.kind);
    this.writeEncoded(message.kind, feedCodec.encode(message));
  }

  /** Sends a message of `kind` that was encoded by `feedCodec.encode`. */
  writeEncoded(kind: types.DownMessage['kind'], bytes: Buffer): void {
    if (this.hasEnded) {
      return;
    }
    const { length } = bytes;
    this.queuedBytes += length;
    this.traffic.recordQueued(kind, length);
    this.stream.write(bytes, () => this.dequeue(length));
  }

  /** Ends the stream after the messages that were written. */
  end(): void {
    this.dequeue(this.queuedBytes);
    this.hasEnded = true;
    this.stream.end();
  }

  private dequeue(bytes: number): void {
    if (!this.hasEnded) {
      this.queuedBytes -= bytes;
      this.traffic.recordDequeued(bytes);
    }
  }
}
