import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as membershipTable from './MembershipTable.js';
import type * as types from './Types.js';

const MS_PER_SECOND = 1_000;

/**
 * Polls the platform's list. All entry VMs together read it `listReadsPerSecond` times per second, regardless of
 * their number, and exchange the changes; so each of N VMs reads it every N / listReadsPerSecond seconds, with
 * random jitter.
 */
export class PlatformListPoller implements commonTypes.IDisposable {
  private readonly controller = new AbortController();

  /** Number of invalid entries in the last list. */
  private invalidCount = 0;

  /** Starts to poll; runs until disposed. `entries` returns the number of entry VMs believed to be alive. */
  constructor(
    private readonly client: types.IPlatformListClient,
    private readonly table: membershipTable.MembershipTable,
    private readonly options: types.IMembershipOptions,
    private readonly entries: () => number,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly log: commonServices.ILogService,
  ) {
    void this.poll();
  }

  /** @inheritdoc */
  dispose(): void {
    this.controller.abort();
  }

  private async poll(): Promise<void> {
    const { signal } = this.controller;
    while (!signal.aborted) {
      await this.read();
      await this.pause(signal);
    }
  }

  private async read(): Promise<void> {
    try {
      const list = await this.client.read(this.controller.signal);
      this.reportInvalid(list.invalid ?? 0);
      this.table.applyList(list);
    } catch (err) {
      if (!this.controller.signal.aborted) {
        // The table stays as it is: a failed read carries no information about the endpoints.
        this.log.warn('membership-list-unavailable', { reason: (err as Error).message });
      }
    }
  }

  private reportInvalid(invalid: number): void {
    if (invalid !== this.invalidCount) {
      this.invalidCount = invalid;
      this.log.warn('membership-entries-invalid', { invalid });
    }
  }

  private async pause(signal: AbortSignal): Promise<void> {
    const { listReadsPerSecond, intervalMs } = this.options;
    const period = (this.entries() / listReadsPerSecond) * MS_PER_SECOND;
    const delay = Math.max(intervalMs, period) * (0.5 + this.random.next());
    try {
      await this.clock.sleep(delay, signal);
    } catch {
      // The poller was disposed, so the loop ends.
    }
  }
}
