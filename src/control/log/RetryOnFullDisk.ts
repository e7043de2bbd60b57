import type * as services from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as types from './Types.js';
import * as retryOnFullFile from './RetryOnFullFile.js';

/** Between two tries while the disk is full; short against the silence after which a member is replaced (2 s). */
const RETRY_MS = 100;
const NO_ROOM = 'ENOSPC';

/**
 * A disk whose writes wait while it is full, as they would on a stalled one: nothing is acknowledged
 * meanwhile, and the process neither ends nor loses its place in the group.
 *
 * @example
 * const disk = new RetryOnFullDisk(new NodeDisk(), clock, logService);
 */
export class RetryOnFullDisk implements types.IDisk {
  private readonly stop = new AbortController();

  private waitingSince: commonTypes.Millis | undefined;

  /** Waits by `clock` for room on `disk`. */
  constructor(
    private readonly disk: types.IDisk,
    private readonly clock: commonTypes.IClock,
    private readonly logService: services.ILogService,
  ) {}

  /** Runs `action` until it finds room. Any other failure, and the end of the lock, rejects. */
  async retryWhileFull<T>(action: () => Promise<T>): Promise<T> {
    for (;;) {
      try {
        const result = await action();
        this.noteRoom();
        return result;
      } catch (err) {
        if (!isFull(err)) {
          throw err;
        }
        this.noteFull();
      }
      await this.clock.sleep(RETRY_MS, this.stop.signal);
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
        this.stop.abort(new Error('disk closed'));
        lock.dispose();
      },
    };
  }

  private noteFull(): void {
    if (this.waitingSince === undefined) {
      this.waitingSince = this.clock.monotonic();
      this.logService.warn('disk-full', { retryMs: RETRY_MS });
    }
  }

  private noteRoom(): void {
    if (this.waitingSince !== undefined) {
      const waitedMs = this.clock.monotonic() - this.waitingSince;
      this.waitingSince = undefined;
      this.logService.info('disk-room-regained', { waitedMs });
    }
  }
}

function isFull(err: unknown): boolean {
  return (err as NodeJS.ErrnoException).code === NO_ROOM;
}
