import type * as services from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as types from './Types.js';
import * as retryOnFullFile from './RetryOnFullFile.js';

/** Interval between attempts on a full disk; short against the 2 s of silence after which a member is replaced. */
const RETRY_INTERVAL_MS = 100;
const DISK_FULL_CODE = 'ENOSPC';

/**
 * A disk that retries writes while it is full, so that they only appear slow. Meanwhile no write is
 * acknowledged, and the process neither exits nor loses its membership of the group.
 *
 * @example
 * const disk = new RetryOnFullDisk(new NodeDisk(), clock, logService);
 */
export class RetryOnFullDisk implements types.IDisk {
  private readonly closed = new AbortController();

  private fullSince: commonTypes.Millis | undefined;

  /** Wraps `disk` and waits by `clock` between attempts. */
  constructor(
    private readonly disk: types.IDisk,
    private readonly clock: commonTypes.IClock,
    private readonly logService: services.ILogService,
  ) {}

  /** Retries `action` while it fails with ENOSPC; rejects on any other error or once the lock is disposed. */
  async retryWhileFull<T>(action: () => Promise<T>): Promise<T> {
    for (;;) {
      try {
        const result = await action();
        this.reportSpaceRegained();
        return result;
      } catch (err) {
        if (!isDiskFull(err)) {
          throw err;
        }
        this.reportFull();
      }
      await this.clock.sleep(RETRY_INTERVAL_MS, this.closed.signal);
    }
  }

  /** @inheritdoc */
  makeFolder(path: string): Promise<void> {
    return this.retryWhileFull(() => this.disk.makeFolder(path));
  }

  /** @inheritdoc */
  list(path: string): Promise<readonly string[]> {
    return this.disk.list(path);
  }

  /** @inheritdoc */
  async open(path: string): Promise<types.IFile> {
    const file = await this.retryWhileFull(() => this.disk.open(path));
    return new retryOnFullFile.RetryOnFullFile(file, this);
  }

  /** @inheritdoc */
  rename(from: string, to: string): Promise<void> {
    return this.retryWhileFull(() => this.disk.rename(from, to));
  }

  /** @inheritdoc */
  remove(path: string): Promise<void> {
    return this.disk.remove(path);
  }

  /** @inheritdoc */
  syncFolder(path: string): Promise<void> {
    return this.disk.syncFolder(path);
  }

  /** @inheritdoc */
  freeBytes(path: string): Promise<number> {
    return this.disk.freeBytes(path);
  }

  /** @inheritdoc */
  async lock(path: string): Promise<commonTypes.IDisposable> {
    const lock = await this.disk.lock(path);
    return {
      dispose: () => {
        this.closed.abort(new Error('disk closed while waiting for free space'));
        lock.dispose();
      },
    };
  }

  private reportFull(): void {
    if (this.fullSince === undefined) {
      this.fullSince = this.clock.monotonic();
      this.logService.warn('disk-full', { retryMs: RETRY_INTERVAL_MS });
    }
  }

  private reportSpaceRegained(): void {
    if (this.fullSince !== undefined) {
      const waitedMs = this.clock.monotonic() - this.fullSince;
      this.fullSince = undefined;
      this.logService.info('disk-room-regained', { waitedMs });
    }
  }
}

function isDiskFull(err: unknown): boolean {
  return (err as NodeJS.ErrnoException).code === DISK_FULL_CODE;
}
