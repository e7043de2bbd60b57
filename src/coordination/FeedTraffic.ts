import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';

/** Window of the reported rate. */
const WINDOW_MS = 1000;
/** Resolution of the reported rate. */
const BUCKET_MS = 50;

interface IBucket {
  readonly startedAt: commonTypes.Millis;
  /** Bytes by kind of message. */
  readonly bytes: Map<string, number>;
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

  /** Bytes that were written to streams in the last second, by kind of message, the most first. */
  get recentBytes(): readonly (readonly [kind: string, bytes: number])[] {
    this.dropOldBuckets();
    const sums = new Map<string, number>();
    this.buckets.forEach(({ bytes }) => bytes.forEach((each, kind) => add(sums, kind, each)));
    return [...sums].sort((a, b) => b[1] - a[1]);
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
    add(this.currentBucket().bytes, kind, bytes);
  }

  /** Records that sockets accepted bytes, or that their stream ended. */
  recordDequeued(bytes: number): void {
    this.queued -= bytes;
  }

  private currentBucket(): IBucket {
    const now = this.clock.monotonic();
    const last = this.buckets.at(-1);
    if (last !== undefined && now - last.startedAt < BUCKET_MS) {
      return last;
    }
    this.dropOldBuckets();
    const created = { startedAt: now, bytes: new Map<string, number>() };
    this.buckets.push(created);
    return created;
  }

  private dropOldBuckets(): void {
    const oldest = this.clock.monotonic() - WINDOW_MS;
    this.buckets = this.buckets.filter(({ startedAt }) => startedAt > oldest);
  }
}

function add(sums: Map<string, number>, kind: string, bytes: number): void {
  sums.set(kind, (sums.get(kind) ?? 0) + bytes);
}
