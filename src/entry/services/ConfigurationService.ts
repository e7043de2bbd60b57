import * as disposableStore from '../../common/DisposableStore.js';
import * as emitter from '../../common/Emitter.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as textDelta from '../../common/wire/TextDelta.js';
import * as declarations from '../../config/Declaration.js';
import type * as configTypes from '../../config/Types.js';
import type * as configurationFile from './ConfigurationFile.js';
import type * as controlFeed from './ControlFeed.js';
import type * as entryLease from './EntryLease.js';
import type * as services from './Services.js';

type Held = configurationFile.IHeldConfiguration;

/** Configurations of the other entry VMs, for a start without the control group. */
export interface IPeerConfigurations {
  /** Newest configuration among the peers that answered; undefined before the first answer. */
  newest(): Held | undefined;
  /** Fires when the result of `newest` changes. */
  readonly onChange: commonTypes.IEvent<void>;
}

/** Follows the configuration of the control group and keeps the last one while the group is unreachable. */
export class ConfigurationService implements services.IConfigurationService {
  private readonly disposables = new disposableStore.DisposableStore();

  private readonly changeEmitter = this.disposables.add(
    new emitter.Emitter<configTypes.IConfiguration>(),
  );

  private configuration: configTypes.IConfiguration | undefined;

  private text = '';

  private confirmed = false;

  /** @inheritdoc */
  readonly onChange = this.changeEmitter.event;

  /** Loads the stored configuration, which is ready only after the group or the peers confirm it. */
  constructor(
    private readonly feed: controlFeed.ControlFeed,
    private readonly lease: entryLease.EntryLease,
    private readonly logService: loggers.ILogService,
    private readonly file?: configurationFile.ConfigurationFile,
    private readonly peers?: IPeerConfigurations,
  ) {
    const stored = file?.read();
    if (stored !== undefined) {
      this.putInForce(stored);
    }
    this.disposables.add(feed.onUpdate((update) => this.update(update)));
    if (peers !== undefined) {
      this.disposables.add(peers.onChange(() => this.adoptFromPeers()));
    }
  }

  /** @inheritdoc */
  get current(): configTypes.IConfiguration | undefined {
    return this.configuration;
  }

  /** @inheritdoc */
  get ready(): boolean {
    return this.configuration !== undefined && this.confirmed;
  }

  /** @inheritdoc */
  get isCurrent(): boolean {
    return this.ready && this.lease.held && this.version >= this.lease.newestVersion;
  }

  /** Configuration in force with its text, for peers that start without the control group. */
  get held(): Held | undefined {
    return this.configuration === undefined
      ? undefined
      : { version: this.configuration.version, text: this.text };
  }

  /** @inheritdoc */
  dispose(): void {
    this.disposables.dispose();
  }

  private get version(): number {
    return this.configuration?.version ?? 0;
  }

  private update(update: controlFeed.Update): void {
    const next = this.readUpdate(update);
    if (next !== undefined) {
      this.putInForce(next);
      this.feed.setHeldVersion(this.version);
    }
    if (this.version > update.currentVersion) {
      const newest = update.currentVersion;
      this.logService.error('configuration-ahead', { held: this.version, newest });
    }
    // The leader sends its newest version only after a quorum confirmed its leadership.
    if (this.version >= update.currentVersion && this.version > 0 && !this.confirmed) {
      this.confirmed = true;
      this.logService.info('configuration-confirmed', { version: this.version, by: 'control' });
    }
  }

  private readUpdate(update: controlFeed.Update): Held | undefined {
    const { configuration, delta } = update;
    if (configuration !== null) {
      return { version: configuration.version, text: configuration.text };
    }
    if (delta === null) {
      return undefined;
    }
    const matches = delta.baseVersion === this.version;
    const text = matches ? textDelta.applyDelta(this.text, delta) : undefined;
    if (text === undefined) {
      this.feed.restart(0);
      return undefined;
    }
    return { version: delta.version, text };
  }

  /** Puts a newer version in force and ignores older ones. */
  private putInForce(next: Held): void {
    if (next.version <= this.version) {
      return;
    }
    try {
      const declaration = declarations.parseDeclaration('control', next.text);
      this.configuration = { version: next.version, declaration };
    } catch (err) {
      this.logService.error('configuration-unreadable', {
        version: next.version,
        reason: err instanceof Error ? err.message : String(err),
      });
      return;
    }
    this.text = next.text;
    this.store(next);
    this.feed.setHeldVersion(next.version);
    this.logService.info('configuration-in-force', { version: next.version });
    this.changeEmitter.fire(this.configuration);
    this.lease.reportVersion(next.version);
  }

  private store(next: Held): void {
    try {
      this.file?.write(next);
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      this.logService.warn('configuration-not-kept', { version: next.version, reason });
    }
  }

  /** Without the control group, puts the newest configuration among the peers in force and logs it as theirs. */
  private adoptFromPeers(): void {
    const newest = this.peers?.newest();
    if (newest === undefined || this.feed.isConnected) {
      return;
    }
    this.putInForce(newest);
    if (this.version >= newest.version && this.version > 0 && !this.confirmed) {
      this.confirmed = true;
      this.logService.warn('configuration-confirmed', { version: this.version, by: 'peers' });
    }
  }
}
