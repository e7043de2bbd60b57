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

/** What other entry VMs hold, for a start without the control group. */
export interface IPeerConfigurations {
  /** Newest configuration among the peers that answered; undefined before any did. */
  newest(): Held | undefined;
  /** Fires when `newest` changed. */
  readonly onChange: commonTypes.IEvent<void>;
}

/** Follows the configuration of the control group; goes on with what it has when the group is away. */
export class ConfigurationService implements services.IConfigurationService {
  private readonly owned = new disposableStore.DisposableStore();

  private readonly changeEmitter = this.owned.add(
    new emitter.Emitter<configTypes.IConfiguration>(),
  );

  private configuration: configTypes.IConfiguration | undefined;

  private text = '';

  private confirmed = false;

  /** @inheritdoc */
  readonly onChange = this.changeEmitter.event;

  /** Takes up what the file kept, which counts only once the group or the peers confirm it. */
  constructor(
    private readonly feed: controlFeed.ControlFeed,
    private readonly lease: entryLease.EntryLease,
    private readonly logService: loggers.ILogService,
    private readonly file?: configurationFile.ConfigurationFile,
    private readonly peers?: IPeerConfigurations,
  ) {
    const kept = file?.read();
    if (kept !== undefined) {
      this.take(kept);
    }
    this.owned.add(feed.onUpdate((update) => this.update(update)));
    if (peers !== undefined) {
      this.owned.add(peers.onChange(() => this.askPeers()));
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

  /** Newest version held, for peers that start without the control group. */
  get held(): Held | undefined {
    return this.configuration === undefined
      ? undefined
      : { version: this.configuration.version, text: this.text };
  }

  /** @inheritdoc */
  dispose(): void {
    this.owned.dispose();
  }

  private get version(): number {
    return this.configuration?.version ?? 0;
  }

  private update(update: controlFeed.Update): void {
    const next = this.textOf(update);
    if (next !== undefined) {
      this.take(next);
      this.feed.setHeldVersion(this.version);
    }
    if (this.version > update.currentVersion) {
      const newest = update.currentVersion;
      this.logService.error('configuration-ahead', { held: this.version, newest });
    }
    // The leader told its newest version after a quorum confirmed that it leads.
    if (this.version >= update.currentVersion && this.version > 0 && !this.confirmed) {
      this.confirmed = true;
      this.logService.info('configuration-confirmed', { version: this.version, by: 'control' });
    }
  }

  private textOf(update: controlFeed.Update): Held | undefined {
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

  /** Puts a newer version in force; an older one never. */
  private take(next: Held): void {
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
    this.keep(next);
    this.feed.setHeldVersion(next.version);
    this.logService.info('configuration-in-force', { version: next.version });
    this.changeEmitter.fire(this.configuration);
    this.lease.reportVersion(next.version);
  }

  private keep(next: Held): void {
    try {
      this.file?.write(next);
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      this.logService.warn('configuration-not-kept', { version: next.version, reason });
    }
  }

  /** Without the control group the newest among the peers will do, and is said so. */
  private askPeers(): void {
    const newest = this.peers?.newest();
    if (newest === undefined || this.feed.isConnected) {
      return;
    }
    this.take(newest);
    if (this.version >= newest.version && this.version > 0 && !this.confirmed) {
      this.confirmed = true;
      this.logService.warn('configuration-confirmed', { version: this.version, by: 'peers' });
    }
  }
}
