import type * as control from '#wire/control.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as controlState from '../state/ControlState.js';
import type * as controlTypes from '../Types.js';
import type * as services from './Services.js';

/** Between two ticks of the leader. */
const TICK_MS = 1000;
/** After a longer gap every lease starts anew: the entries could not renew them. */
const GRACE_GAP_MS = 2500;
const MAX_WAITING = 4096;

type Heartbeat = messages.Message<control.wire.HeartbeatRequest.$Properties>;

interface IWaiter {
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

/** Gathers heartbeats at the leader and puts them into the log once a second, all in one command. */
export class LeaseService implements services.ILeaseService {
  private readonly stop = new AbortController();

  private beats = new Map<string, Heartbeat>();

  private waiters: IWaiter[] = [];

  private readonly versions = new Map<string, number>();

  private lastTick: commonTypes.Millis | undefined;

  private wake: (() => void) | undefined;

  private readonly leadership: commonTypes.IDisposable;

  /** Starts the task that ticks while this replica leads. */
  constructor(
    private readonly log: controlTypes.IReplicatedLog,
    private readonly state: controlState.ControlState,
    private readonly commands: services.ICommandService,
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
  ) {
    this.leadership = log.onLeadership((leads) => this.turn(leads));
    void this.run();
  }

  /** @inheritdoc */
  renew(req: Heartbeat): Promise<void> {
    if (this.waiters.length >= MAX_WAITING) {
      return Promise.reject(new RangeError('too many heartbeats wait'));
    }
    this.versions.set(req.incarnation, req.versionInForce);
    this.beats.set(req.incarnation, req);
    if (!this.state.entries.has(req.incarnation) || req.farewell) {
      this.wake?.();
    }
    return new Promise((resolve, reject) => {
      this.waiters.push({ resolve, reject });
    });
  }

  /** @inheritdoc */
  versionInForce(incarnation: string): number {
    return this.versions.get(incarnation) ?? 0;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.leadership.dispose();
    this.wake?.();
  }

  /** A new leader knows nothing of the beats that its forerunner heard. */
  private turn(leads: boolean): void {
    this.lastTick = undefined;
    if (leads) {
      this.wake?.();
      return;
    }
    this.versions.clear();
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.pause();
      await this.tick();
    }
  }

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(TICK_MS, resolve);
      this.wake = () => {
        timer.dispose();
        resolve();
      };
    });
  }

  private async tick(): Promise<void> {
    if (this.log.status().role !== 'leader' || this.stop.signal.aborted) {
      this.settle((waiter) => waiter.reject(new Error('this replica does not lead')));
      return;
    }
    const now = this.clock.monotonic();
    const grace = this.lastTick === undefined || now - this.lastTick > GRACE_GAP_MS;
    const beats = [...this.beats.values()];
    if (beats.length === 0 && this.state.entries.list().length === 0) {
      this.lastTick = now;
      return;
    }
    const { waiters } = this;
    this.beats = new Map();
    this.waiters = [];
    await this.propose(beats, grace, waiters);
  }

  private async propose(
    beats: readonly Heartbeat[],
    grace: boolean,
    waiters: readonly IWaiter[],
  ): Promise<void> {
    const started = this.clock.monotonic();
    const named = beats.map(({ incarnation, name, zone, farewell }) => {
      const known = this.state.entries.has(incarnation);
      return known ? { incarnation, farewell } : { incarnation, name, zone, farewell };
    });
    try {
      await this.commands.propose({ tick: { beats: named, grace } });
      this.lastTick = started;
      waiters.forEach((waiter) => waiter.resolve());
      this.forgetGone();
    } catch (err) {
      this.lastTick = undefined;
      waiters.forEach((waiter) => waiter.reject(err));
      this.logService.warn('tick-failed', { reason: String(err) });
    }
  }

  private forgetGone(): void {
    [...this.versions.keys()]
      .filter((incarnation) => !this.state.entries.has(incarnation) && !this.beats.has(incarnation))
      .forEach((incarnation) => this.versions.delete(incarnation));
  }

  private settle(act: (waiter: IWaiter) => void): void {
    const { waiters } = this;
    this.waiters = [];
    this.beats = new Map();
    waiters.forEach(act);
  }
}
