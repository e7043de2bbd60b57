import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';

/** Window of the reported rate. */
const WINDOW_MS = 1000;
/** Resolution of the reported rate. */
const BUCKET_MS = 50;

interface IBucket {
  readonly startedAt: commonTypes.Millis;
  bytes: number;
}

/** Counts what the feed of a control VM encodes and sends, in bytes without the framing of gRPC. */
export class FeedTraffic {
  /** Buckets of the last window, oldest first. */
  private buckets: IBucket[] = [];

  private queued = 0;

  /** Starts without traffic. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly metrics: commonServices.IMetricsService,
  ) {}

  /** Bytes that were written to streams and that the sockets have not accepted. */
  get queuedBytes(): number {
    return this.queued;
  }

  /** Bytes that were written to streams in the last second. */
  get recentBytes(): number {
    this.dropOldBuckets();
    return this.buckets.reduce((sum, { bytes }) => sum + bytes, 0);
  }

  /** Records that a message of `kind` was encoded; it may be sent several times. */
  recordEncoded(kind: string): void {
    this.metrics.count('feed_messages_encoded', { kind });
  }

  /** Records that a message was written to a stream. */
  recordQueued(kind: string, bytes: number): void {
    this.metrics.count('feed_messages_sent', { kind });
    this.metrics.count('feed_bytes_sent', { kind }, bytes);
    this.queued += bytes;
    const now = this.clock.monotonic();
    const last = this.buckets.at(-1);
    if (last !== undefined && now - last.startedAt < BUCKET_MS) {
      last.bytes += bytes;
    } else {
      this.dropOldBuckets();
      this.buckets.push({ startedAt: now, bytes });
    }
  }

  /** Records that sockets accepted bytes, or that their stream ended. */
  recordDequeued(bytes: number): void {
    this.queued -= bytes;
  }

  private dropOldBuckets(): void {
    const oldest = this.clock.monotonic() - WINDOW_MS;
    this.buckets = this.buckets.filter(({ startedAt }) => startedAt > oldest);
  }
}
