import type * as commonTypes from '../../common/Types.js';
import type * as services from '../../common/services/Services.js';
import type * as logStore from '../log/LogStore.js';
import type * as types from './Types.js';

const READ_INTERVAL_MS = 1000;
/** A figure that is being read for longer is taken for unknown, so that a hanging read refuses nothing for good. */
const READ_TIMEOUT_MS = 3000;

/**
 * Decides whether entries leave a reserve of the disk free. The reserve holds the next snapshot, the only thing that
 * shortens the log: a log that takes its room can neither grow nor be shortened.
 */
export class DiskRoom {
  /** Free space as last read; Infinity while unknown. */
  private freeBytes = Infinity;

  /** Data of entries that `freeBytes` does not include: not durable when it was read, or appended since. */
  private unaccountedBytes = 0;

  private readAt: commonTypes.Millis = -Infinity;

  private isReading = false;

  private isShort = false;

  /** Reads the free space of the folder of `store`. */
  constructor(
    private readonly store: logStore.LogStore,
    private readonly clock: commonTypes.IClock,
    private readonly logService: services.ILogService,
    private readonly tuning: types.ITuning,
  ) {}

  /** Counts the data of appended entries. */
  recordAppend(bytes: number): void {
    this.unaccountedBytes += bytes;
  }

  /**
   * Whether the reserve stays free once everything appended so far and `bytes` more are written. Entries that wait for
   * a full or slow disk count as written: a quorum commits them without this replica, so that they may become many.
   */
  hasRoomFor(bytes: number): boolean {
    const remaining = this.freeBytes - this.unaccountedBytes - bytes;
    const hasRoom = remaining >= this.tuning.diskReserveBytes;
    this.refresh(hasRoom ? READ_INTERVAL_MS : this.tuning.heartbeatMs);
    return hasRoom;
  }

  /** Reads the free space unless that was done within `interval`. */
  refresh(interval: commonTypes.Millis = READ_INTERVAL_MS): void {
    const age = this.clock.monotonic() - this.readAt;
    if (this.isReading && age > READ_TIMEOUT_MS) {
      this.freeBytes = Infinity;
    } else if (!this.isReading && age >= interval) {
      void this.read();
    }
  }

  private async read(): Promise<void> {
    this.readAt = this.clock.monotonic();
    this.isReading = true;
    this.unaccountedBytes = this.store.undurableBytes;
    this.freeBytes = await this.store.freeBytes().catch(() => Infinity);
    this.isReading = false;
    this.logChange();
  }

  private logChange(): void {
    const { diskReserveBytes } = this.tuning;
    const free = this.freeBytes - this.unaccountedBytes;
    const isShort = free < diskReserveBytes;
    if (isShort !== this.isShort) {
      this.isShort = isShort;
      this.logService.warn('disk-space', { full: isShort, free, reserve: diskReserveBytes });
    }
  }
}
