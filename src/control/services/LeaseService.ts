import type * as control from '#wire/control.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as controlState from '../state/ControlState.js';
import type * as controlTypes from '../Types.js';
import type * as services from './Services.js';

/** Interval between two ticks of the leader. */
const TICK_INTERVAL_MS = 1000;
/** After a longer gap between ticks every lease restarts, since entries could not renew theirs in that time. */
const GRACE_THRESHOLD_MS = 2500;
const MAX_PENDING_HEARTBEATS = 4096;

type Heartbeat = messages.Message<control.wire.HeartbeatRequest.$Properties>;

interface IPendingRenewal {
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

/** Collects heartbeats on the leader and commits them as one tick command per second. */
export class LeaseService implements services.ILeaseService {
  private readonly stop = new AbortController();

  private pendingBeats = new Map<string, Heartbeat>();

  private waiters: IPendingRenewal[] = [];

  private readonly reportedVersions = new Map<string, number>();

  private lastTick: commonTypes.Millis | undefined;

  private wake: (() => void) | undefined;

  private readonly leadership: commonTypes.IDisposable;

  /** Starts the loop that proposes ticks while this replica is the leader. */
  constructor(
    private readonly log: controlTypes.IReplicatedLog,
    private readonly state: controlState.ControlState,
    private readonly commands: services.ICommandService,
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
  ) {
    this.leadership = log.onLeadership((leads) => this.handleLeadershipChange(leads));
    void this.runTicks();
  }

  /** @inheritdoc */
  renew(req: Heartbeat): Promise<void> {
    if (this.waiters.length >= MAX_PENDING_HEARTBEATS) {
      return Promise.reject(new RangeError('too many pending heartbeats'));
    }
    this.reportedVersions.set(req.incarnation, req.versionInForce);
    this.pendingBeats.set(req.incarnation, req);
    if (!this.state.entries.has(req.incarnation) || req.farewell) {
      this.wake?.();
    }
    return new Promise((resolve, reject) => {
      this.waiters.push({ resolve, reject });
    });
  }

  /** @inheritdoc */
  versionInForce(incarnation: string): number {
    return this.reportedVersions.get(incarnation) ?? 0;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.leadership.dispose();
    this.wake?.();
  }

  /**
   * Clears the time of the last tick, so that the first tick of a new leader restarts every lease: a new leader has
   * not received the heartbeats that were sent to the previous one.
   */
  private handleLeadershipChange(leads: boolean): void {
    this.lastTick = undefined;
    if (leads) {
      this.wake?.();
      return;
    }
    this.reportedVersions.clear();
  }

  private async runTicks(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.waitForTick();
      await this.tick();
    }
  }

  private waitForTick(): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(TICK_INTERVAL_MS, resolve);
      this.wake = () => {
        timer.dispose();
        resolve();
      };
    });
  }

  private async tick(): Promise<void> {
    if (this.log.status().role !== 'leader' || this.stop.signal.aborted) {
      this.settleWaiters((waiter) => waiter.reject(new Error('this replica is not the leader')));
      return;
    }
    const now = this.clock.monotonic();
    const grace = this.lastTick === undefined || now - this.lastTick > GRACE_THRESHOLD_MS;
    const heartbeats = [...this.pendingBeats.values()];
    if (heartbeats.length === 0 && this.state.entries.list().length === 0) {
      this.lastTick = now;
      return;
    }
    const { waiters } = this;
    this.pendingBeats = new Map();
    this.waiters = [];
    await this.proposeTick(heartbeats, grace, waiters);
  }

  private async proposeTick(
    heartbeats: readonly Heartbeat[],
    grace: boolean,
    waiters: readonly IPendingRenewal[],
  ): Promise<void> {
    const started = this.clock.monotonic();
    const tickBeats = heartbeats.map(({ incarnation, name, zone, farewell }) => {
      const known = this.state.entries.has(incarnation);
      return known ? { incarnation, farewell } : { incarnation, name, zone, farewell };
    });
    try {
      await this.commands.propose({ tick: { beats: tickBeats, grace } });
      this.lastTick = started;
      waiters.forEach((waiter) => waiter.resolve());
      this.removeExpiredVersions();
    } catch (err) {
      this.lastTick = undefined;
      waiters.forEach((waiter) => waiter.reject(err));
      this.logService.warn('tick-failed', { reason: String(err) });
    }
  }

  private removeExpiredVersions(): void {
    [...this.reportedVersions.keys()]
      .filter(
        (incarnation) =>
          !this.state.entries.has(incarnation) && !this.pendingBeats.has(incarnation),
      )
      .forEach((incarnation) => this.reportedVersions.delete(incarnation));
  }

  private settleWaiters(act: (waiter: IPendingRenewal) => void): void {
    const { waiters } = this;
    this.waiters = [];
    this.pendingBeats = new Map();
    waiters.forEach(act);
  }
}
