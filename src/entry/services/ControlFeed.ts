import type * as control from '#wire/control.js';
import * as emitter from '../../common/Emitter.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import type * as entryLease from './EntryLease.js';

const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1000;
/** A renewal told of a newer version: the stream must bring it within this time. */
const BEHIND_MS = 1000;

/** What the control group sends to its watchers. */
export type Update = messages.Message<control.wire.WatchUpdate.$Properties>;

/** The stream of configurations and quarantine lists; opened again whenever it ends or falls behind. */
export class ControlFeed implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private readonly updateEmitter = new emitter.Emitter<Update>();

  private stream = new AbortController();

  private held = 0;

  private connected = false;

  private readonly renewals: commonTypes.IDisposable;

  /** Fires with each update. */
  readonly onUpdate = this.updateEmitter.event;

  /** Starts nothing before `start`, so that listeners can subscribe. */
  constructor(
    private readonly client: controlClient.ControlClient,
    private readonly identity: entryLease.IEntryIdentity,
    private readonly lease: entryLease.EntryLease,
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
  ) {
    this.renewals = lease.onRenewed((version) => this.checkBehind(version));
  }

  /** Whether the stream is open and brought its first update. */
  get isConnected(): boolean {
    return this.connected;
  }

  /** Starts the task; `held` is the version that need not be sent again. */
  start(held: number): void {
    this.held = held;
    void this.run();
  }

  /** Notes the version held now. */
  setHeldVersion(version: number): void {
    this.held = version;
  }

  /** Opens the stream anew, with the full state when `held` is 0. */
  restart(held: number): void {
    this.held = held;
    this.stream.abort();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.stream.abort();
    this.renewals.dispose();
  }

  private async run(): Promise<void> {
    let pause = FIRST_PAUSE_MS;
    while (!this.stop.signal.aborted) {
      const got = await this.follow();
      pause = got ? FIRST_PAUSE_MS : Math.min(2 * pause, MAX_PAUSE_MS);
      await this.clock.sleep(pause, this.stop.signal).catch(() => {});
    }
  }

  /** Follows one stream to its end; true when it brought anything. */
  private async follow(): Promise<boolean> {
    this.stream = new AbortController();
    const { name, zone } = this.identity;
    const req = { incarnation: this.lease.incarnation, name, zone, version: this.held };
    let got = false;
    try {
      for await (const update of this.client.watch(req, this.stream.signal)) {
        got = true;
        this.note(true);
        this.updateEmitter.fire(update);
      }
    } catch (err) {
      if (!this.stream.signal.aborted) {
        this.client.moveOn(err);
      }
    }
    this.note(false);
    return got;
  }

  private note(connected: boolean): void {
    if (this.connected !== connected && !this.stop.signal.aborted) {
      this.logService.info(connected ? 'feed-open' : 'feed-closed', { version: this.held });
    }
    this.connected = connected;
  }

  /** The stream may hang on a replica that is stopped or cut off. */
  private checkBehind(version: number): void {
    if (version <= this.held) {
      return;
    }
    this.clock.setTimer(BEHIND_MS, () => {
      if (version > this.held && !this.stop.signal.aborted) {
        this.logService.warn('feed-behind', { held: this.held, newest: version });
        this.restart(this.held);
      }
    });
  }
}
