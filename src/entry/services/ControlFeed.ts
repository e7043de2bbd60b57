import type * as control from '#wire/control.js';
import * as emitter from '../../common/Emitter.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import type * as entryLease from './EntryLease.js';

const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;
/** Time within which the stream must deliver a newer version that a lease renewal announced. */
const MAX_LAG_MS = 1000;

/** An update that the control group sends to its watchers. */
export type Update = messages.Message<control.wire.WatchUpdate.$Properties>;

/** The stream of configurations and quarantine lists, which is reopened when it ends or falls behind. */
export class ControlFeed implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private readonly updateEmitter = new emitter.Emitter<Update>();

  private stream = new AbortController();

  private heldVersion = 0;

  private connected = false;

  private readonly renewals: commonTypes.IDisposable;

  /** Fires with each update from the stream. */
  readonly onUpdate = this.updateEmitter.event;

  /** The stream opens with `start`, so that listeners can subscribe first. */
  constructor(
    private readonly client: controlClient.ControlClient,
    private readonly identity: entryLease.IEntryIdentity,
    private readonly lease: entryLease.EntryLease,
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
  ) {
    this.renewals = lease.onRenewed((version) => this.checkLag(version));
  }

  /** Whether the stream is open and has delivered its first update. */
  get isConnected(): boolean {
    return this.connected;
  }

  /** Starts the task; `heldVersion` is the version already held, which the group need not send; 0 for none. */
  start(heldVersion: number): void {
    this.heldVersion = heldVersion;
    void this.run();
  }

  /** Sets the version that this process holds, which is sent when the stream is next opened. */
  setHeldVersion(version: number): void {
    this.heldVersion = version;
  }

  /** Reopens the stream from version `heldVersion`; 0 requests the full state. */
  restart(heldVersion: number): void {
    this.heldVersion = heldVersion;
    this.stream.abort();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.stream.abort();
    this.renewals.dispose();
  }

  private async run(): Promise<void> {
    let backoff = MIN_BACKOFF_MS;
    while (!this.stop.signal.aborted) {
      const received = await this.readStream();
      backoff = received ? MIN_BACKOFF_MS : Math.min(2 * backoff, MAX_BACKOFF_MS);
      await this.clock.sleep(backoff, this.stop.signal).catch(() => {});
    }
  }

  /** Reads one stream to its end; resolves with true when it delivered an update. */
  private async readStream(): Promise<boolean> {
    this.stream = new AbortController();
    const { name, zone } = this.identity;
    const req = { incarnation: this.lease.incarnation, name, zone, version: this.heldVersion };
    let received = false;
    try {
      for await (const update of this.client.watch(req, this.stream.signal)) {
        received = true;
        this.setConnected(true);
        this.updateEmitter.fire(update);
      }
    } catch (err) {
      if (!this.stream.signal.aborted) {
        this.client.switchReplica(err);
      }
    }
    this.setConnected(false);
    return received;
  }

  private setConnected(connected: boolean): void {
    if (this.connected !== connected && !this.stop.signal.aborted) {
      this.logService.info(connected ? 'feed-open' : 'feed-closed', { version: this.heldVersion });
    }
    this.connected = connected;
  }

  /** Reopens the stream when it lags: it may hang on a replica that is stopped or partitioned. */
  private checkLag(version: number): void {
    if (version <= this.heldVersion) {
      return;
    }
    this.clock.setTimer(MAX_LAG_MS, () => {
      if (version > this.heldVersion && !this.stop.signal.aborted) {
        this.logService.warn('feed-behind', { held: this.heldVersion, newest: version });
        this.restart(this.heldVersion);
      }
    });
  }
}
