import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as wakeups from '../../common/Wakeup.js';

const RETRY_INTERVAL_MS = 500;
const BATCH_SIZE = 64;
const MAX_ITEMS = 10_000;

/** Sends one item; a rejection causes a retry. */
export type Delivery = () => Promise<void>;

/** Queue of deliveries that are retried until they succeed or the process ends. */
export class Outbox implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private readonly wakeup = new wakeups.Wakeup();

  private items: Delivery[] = [];

  /** Starts the delivery task. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
  ) {
    void this.run();
  }

  /** Number of undelivered items. */
  get size(): number {
    return this.items.length;
  }

  /** Adds a delivery; drops the oldest one when more than 10,000 are queued. */
  add(delivery: Delivery): void {
    this.items.push(delivery);
    if (this.items.length > MAX_ITEMS) {
      this.items.shift();
      this.logService.error('outbox-full', { limit: MAX_ITEMS });
    }
    this.wakeup.notify();
  }

  /** Resolves with true when all items are delivered, or with false after `timeout` milliseconds. */
  async drain(timeout: commonTypes.Millis): Promise<boolean> {
    const end = this.clock.monotonic() + timeout;
    while (this.items.length > 0 && this.clock.monotonic() < end) {
      await this.clock.sleep(RETRY_INTERVAL_MS / 10);
    }
    return this.items.length === 0;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.wakeup.notify();
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      if (this.items.length === 0) {
        await this.wakeup.wait();
        continue;
      }
      const failed = await this.sendBatch();
      if (failed) {
        await this.clock.sleep(RETRY_INTERVAL_MS, this.stop.signal).catch(() => {});
      }
    }
  }

  private async sendBatch(): Promise<boolean> {
    const batch = this.items.slice(0, BATCH_SIZE);
    const results = await Promise.allSettled(batch.map((delivery) => delivery()));
    const delivered = new Set(batch.filter((_, at) => results[at]?.status === 'fulfilled'));
    this.items = this.items.filter((item) => !delivered.has(item));
    return delivered.size < batch.length;
  }
}
