import * as crypto from 'node:crypto';
import * as emitter from '../../common/Emitter.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as wakeups from '../../common/Wakeup.js';
import * as controlMethods from '../../common/wire/ControlMethods.js';
import type * as controlClient from '../../control/client/ControlClient.js';

const { METHODS } = controlMethods;
const BEAT_MS = 2000;
const BEAT_TIMEOUT_MS = 4000;

/** How an entry VM names itself to the control group. */
export interface IEntryIdentity {
  readonly name: string;
  readonly zone: string;
}

/**
 * The lease of this process at the control group: while it lasts, the ledger records that this process
 * began stay its own. One task renews it and tells the version in force with each renewal.
 */
export class EntryLease implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private readonly wakeup = new wakeups.Wakeup();

  private readonly renewedEmitter = new emitter.Emitter<number>();

  private versionInForce = 0;

  private heldUntil = 0;

  private reachable = false;

  /** Fires after each renewal with the newest version of the configuration. */
  readonly onRenewed = this.renewedEmitter.event;

  /** Starts to renew. */
  constructor(
    private readonly client: controlClient.ControlClient,
    private readonly identity: IEntryIdentity,
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
    /** Names this process; never the same after a restart. */
    readonly incarnation: string = crypto.randomUUID(),
  ) {
    void this.run();
  }

  /** Whether the control group answered the last renewal. */
  get connected(): boolean {
    return this.reachable;
  }

  /** Whether this process surely holds its lease now. */
  get held(): boolean {
    return this.clock.monotonic() < this.heldUntil;
  }

  /** Tells the version in force, at once. */
  reportVersion(version: number): void {
    this.versionInForce = version;
    this.wakeup.notify();
  }

  /** Resolves after the next renewal; rejects when the signal aborts first. */
  async waitForRenewal(signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const subscription = this.onRenewed(() => {
        subscription.dispose();
        resolve();
      });
      signal.addEventListener('abort', () => {
        subscription.dispose();
        reject(signal.reason);
      });
    });
  }

  /** Gives the lease back: this process has no call running any more. */
  async release(): Promise<void> {
    this.stop.abort();
    await this.beat(true).catch(() => {});
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.wakeup.notify();
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.renew();
      await this.pause();
    }
  }

  private async renew(): Promise<void> {
    const sent = this.clock.monotonic();
    try {
      const { lease, currentVersion } = await this.beat(false);
      this.heldUntil = sent + lease;
      this.note(true);
      this.renewedEmitter.fire(currentVersion);
    } catch (err) {
      this.note(false, err);
    }
  }

  private beat(farewell: boolean): Promise<{ lease: number; currentVersion: number }> {
    const { name, zone } = this.identity;
    const { incarnation, versionInForce } = this;
    const req = { incarnation, name, zone, versionInForce, farewell };
    return this.client.call(METHODS.heartbeat, req, { timeout: BEAT_TIMEOUT_MS });
  }

  private note(reachable: boolean, err?: unknown): void {
    if (this.reachable !== reachable && !this.stop.signal.aborted) {
      const reason = err instanceof Error ? err.message : undefined;
      const event = reachable ? 'control-reached' : 'control-lost';
      this.logService[reachable ? 'info' : 'warn'](event, { reason });
    }
    this.reachable = reachable;
  }

  /** Sleeps until the next renewal is due or the version changed. */
  private async pause(): Promise<void> {
    const timer = this.clock.setTimer(BEAT_MS, () => this.wakeup.notify());
    await this.wakeup.wait();
    timer.dispose();
  }
}
