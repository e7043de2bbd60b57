import type * as commonServices from '../services/Services.js';
import type * as commonTypes from '../Types.js';
import * as byteLease from './ByteLease.js';
import type * as types from './Types.js';

/** Above the soft limit, only leases up to this size grow, so that small requests still find room. */
const SMALL_LEASE_BYTES = 24_576;
/** A holder is closed at this age at the earliest; requests in calm are done by then. */
const MIN_RECLAIM_AGE_MS = 500;
/** A holder of less is not closed: many would have to be, for little. */
const MIN_RECLAIM_BYTES = 16_384;
/** Shortest interval between two searches for holders to close that freed nothing. */
const RECLAIM_INTERVAL_MS = 20;
/** Closing goes on until this part of the soft limit is held, so that the next growth does not search again. */
const RECLAIM_TARGET_RATIO = 0.9;
/** Part of the soft limit from which on garbage is collected more often. */
const BUSY_RATIO = 0.5;
/** Holders that wait for room and try again when bytes are freed; the others follow in turn. */
const MAX_WOKEN = 4;
/** Longest wait for room before it is checked again. */
const ROOM_CHECK_MS = 100;

/** Components that a budget uses. */
export interface IByteBudgetDependencies {
  readonly clock: commonTypes.IClock;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * Bytes that a process holds for its peers. Each holder takes a lease and resizes it before it holds more. Above the soft
 * limit the budget closes those that hold most for longest, and only small leases grow; the hard limit refuses all.
 *
 * @example
 * const budget = new ByteBudget({ softBytes: 16e6, hardBytes: 24e6 }, { clock, metrics });
 * const lease = budget.lease('request', () => socket.destroy());
 * if (!lease.resize(4096)) {
 *   refuse();
 * }
 */
export class ByteBudget implements byteLease.ILeaseOwner {
  private readonly leases = new Set<byteLease.ByteLease>();

  /** The leases of responses that are being read, in the order in which they began. */
  private readonly answers = new Set<byteLease.ByteLease>();

  private readonly bytesByPurpose = new Map<types.Purpose, number>();

  private readonly waiters = new Set<() => void>();

  private held = 0;

  private wasBusy = false;

  private nextReclaimAt = Number.NEGATIVE_INFINITY;

  /** Creates a budget of which nothing is used. */
  constructor(
    private readonly limits: types.IBudgetLimits,
    private readonly deps: IByteBudgetDependencies,
  ) {}

  /** Bytes charged now. */
  get heldBytes(): number {
    return this.held;
  }

  /** Whether more than the soft limit is charged. */
  get isPressed(): boolean {
    return this.held > this.limits.softBytes;
  }

  /** Whether half of the soft limit or more is charged. */
  get isBusy(): boolean {
    return this.held >= this.limits.softBytes * BUSY_RATIO;
  }

  /** Counts the time until the next `takeWasBusy` as busy, for memory that is not charged. */
  markBusy(): void {
    this.wasBusy = true;
  }

  /** Returns whether the budget was busy since the last call. */
  takeWasBusy(): boolean {
    const wasBusy = this.wasBusy || this.isBusy;
    this.wasBusy = this.isBusy;
    return wasBusy;
  }

  /** Starts a lease of 0 bytes. `reclaim` is called once when the budget takes the bytes back; it must free them. */
  lease(purpose: types.Purpose, reclaim?: () => void): types.IByteLease {
    const lease = new byteLease.ByteLease(this, purpose, this.deps.clock.monotonic(), reclaim);
    this.leases.add(lease);
    if (purpose === 'answer') {
      this.answers.add(lease);
    }
    return lease;
  }

  /** Resolves when bytes were freed and there is room, in turn, after ROOM_CHECK_MS at the latest. */
  freed(): Promise<void> {
    return new Promise((resolve) => {
      let timer: commonTypes.IDisposable | undefined;
      const wake = (): void => {
        timer?.dispose();
        this.waiters.delete(wake);
        resolve();
      };
      timer = this.deps.clock.setTimer(ROOM_CHECK_MS, wake);
      this.waiters.add(wake);
    });
  }

  /** Sets the gauges of the bytes charged by purpose. */
  report(): void {
    this.bytesByPurpose.forEach((bytes, purpose) =>
      this.deps.metrics.gauge('held_bytes', bytes, { purpose }),
    );
  }

  /** @inheritdoc */
  tryResize(lease: byteLease.ByteLease, bytes: number): boolean {
    const growth = bytes - lease.bytes;
    if (growth > 0 && this.held + growth > this.limits.softBytes) {
      this.reclaimFor(lease, growth);
      const mayPass = bytes <= SMALL_LEASE_BYTES || lease === this.oldestAnswer;
      const limit = mayPass ? this.limits.hardBytes : this.limits.softBytes;
      if (lease.isOver || this.held + growth > limit) {
        this.deps.metrics.count('held_bytes_refused', { purpose: lease.purpose });
        return false;
      }
    }
    this.set(lease, bytes);
    return true;
  }

  /** @inheritdoc */
  set(lease: byteLease.ByteLease, bytes: number): void {
    const growth = bytes - lease.bytes;
    Object.assign(lease, { bytes });
    this.held += growth;
    this.wasBusy ||= this.isBusy;
    this.bytesByPurpose.set(lease.purpose, (this.bytesByPurpose.get(lease.purpose) ?? 0) + growth);
    if (growth < 0 && !this.isPressed) {
      this.wakeWaiters();
    }
  }

  /** @inheritdoc */
  release(lease: byteLease.ByteLease): void {
    if (this.leases.delete(lease)) {
      this.answers.delete(lease);
      this.set(lease, 0);
      Object.assign(lease, { isOver: true });
    }
  }

  /** The response that is being read for longest; it may go on, or all of them would wait for one another. */
  private get oldestAnswer(): byteLease.ByteLease | undefined {
    const [oldest] = this.answers;
    return oldest;
  }

  /** Lets the first ones that wait try again; all of them would take the processor from everyone at each release. */
  private wakeWaiters(): void {
    for (let count = 0; count < MAX_WOKEN && this.waiters.size > 0; count++) {
      const [wake] = this.waiters;
      wake?.();
    }
  }

  /** Closes holders, those with the most bytes times age first, until `growth` bytes fit below the target. */
  private reclaimFor(asking: byteLease.ByteLease, growth: number): void {
    const now = this.deps.clock.monotonic();
    if (now < this.nextReclaimAt) {
      return;
    }
    const target = this.limits.softBytes * RECLAIM_TARGET_RATIO - growth;
    const weigh = ({ bytes, since }: byteLease.ByteLease): number => bytes * (now - since);
    const candidates = [...this.leases]
      .filter(
        (lease) => lease !== asking && lease.isReclaimable && lease.bytes >= MIN_RECLAIM_BYTES,
      )
      .filter(({ since }) => now - since >= MIN_RECLAIM_AGE_MS)
      .sort((a, b) => weigh(b) - weigh(a));
    for (const lease of candidates) {
      if (this.held <= target) {
        return;
      }
      const { purpose } = lease;
      this.release(lease);
      this.deps.metrics.count('holders_closed', { purpose });
      lease.reclaim?.();
    }
    this.nextReclaimAt = now + RECLAIM_INTERVAL_MS;
  }
}
