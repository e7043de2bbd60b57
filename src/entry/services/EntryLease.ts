import * as crypto from 'node:crypto';
import * as emitter from '../../common/Emitter.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as wakeups from '../../common/Wakeup.js';
import * as controlMethods from '../../common/wire/ControlMethods.js';
import type * as controlClient from '../../control/client/ControlClient.js';

const { METHODS } = controlMethods;
const HEARTBEAT_INTERVAL_MS = 2000;
const HEARTBEAT_TIMEOUT_MS = 4000;

/** Identity of an entry VM towards the control group. */
export interface IEntryIdentity {
  readonly name: string;
  readonly zone: string;
}

/**
 * The lease of this process at the control group. While it is valid, this process owns the ledger records
 * that it began. One task renews it and reports the version in force with each heartbeat.
 */
export class EntryLease implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private readonly wakeup = new wakeups.Wakeup();

  private readonly renewedEmitter = new emitter.Emitter<number>();

  private versionInForce = 0;

  private announcedVersion = 0;

  private heldUntil = 0;

  private reachable = false;

  /** Fires after each renewal with the newest configuration version of the control group. */
  readonly onRenewed = this.renewedEmitter.event;

  /** Starts the renewal task. */
  constructor(
    private readonly client: controlClient.ControlClient,
    private readonly identity: IEntryIdentity,
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
    /** Unique id of this process; differs after each restart. */
    readonly incarnation: string = crypto.randomUUID(),
  ) {
    void this.run();
  }

  /** Whether the control group answered the last heartbeat. */
  get connected(): boolean {
    return this.reachable;
  }

  /** Whether the lease is valid; counted from the time at which the heartbeat was sent. */
  get held(): boolean {
    return this.clock.monotonic() < this.heldUntil;
  }

  /** Newest configuration version that the control group named with a renewal; 0 before the first. */
  get newestVersion(): number {
    return this.announcedVersion;
  }

  /** Reports the configuration version in force without waiting for the next heartbeat. */
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

  /** Releases the lease; no call of this process may be running. */
  async release(): Promise<void> {
    this.stop.abort();
    await this.sendHeartbeat(true).catch(() => {});
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.wakeup.notify();
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.renew();
      await this.waitForHeartbeat();
    }
  }

  private async renew(): Promise<void> {
    const sent = this.clock.monotonic();
    try {
      const { lease, currentVersion } = await this.sendHeartbeat(false);
      this.heldUntil = sent + lease;
      this.announcedVersion = currentVersion;
      this.setReachable(true);
      this.renewedEmitter.fire(currentVersion);
    } catch (err) {
      this.setReachable(false, err);
    }
  }

  private sendHeartbeat(farewell: boolean): Promise<{ lease: number; currentVersion: number }> {
    const { name, zone } = this.identity;
    const { incarnation, versionInForce } = this;
    const req = { incarnation, name, zone, versionInForce, farewell };
    return this.client.call(METHODS.heartbeat, req, { timeout: HEARTBEAT_TIMEOUT_MS });
  }

  private setReachable(reachable: boolean, err?: unknown): void {
    if (this.reachable !== reachable && !this.stop.signal.aborted) {
      const reason = err instanceof Error ? err.message : undefined;
      const event = reachable ? 'control-reached' : 'control-lost';
      this.logService[reachable ? 'info' : 'warn'](event, { reason });
    }
    this.reachable = reachable;
  }

  /** Waits until the next heartbeat is due or the version in force changes. */
  private async waitForHeartbeat(): Promise<void> {
    const timer = this.clock.setTimer(HEARTBEAT_INTERVAL_MS, () => this.wakeup.notify());
    await this.wakeup.wait();
    timer.dispose();
  }
}
