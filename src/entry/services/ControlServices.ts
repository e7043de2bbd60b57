import * as disposableStore from '../../common/DisposableStore.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as controlClient from '../../control/client/ControlClient.js';
import * as accountingService from './AccountingService.js';
import * as configurationFile from './ConfigurationFile.js';
import * as configurationService from './ConfigurationService.js';
import * as controlFeed from './ControlFeed.js';
import * as entryLease from './EntryLease.js';
import * as ledgerService from './LedgerService.js';
import * as outbox from './Outbox.js';
import * as quarantineService from './QuarantineService.js';
import * as zoneService from './ZoneService.js';

const OUTBOX_DRAIN_TIMEOUT_MS = 5000;

/** Addresses of the control group and identity of this entry VM. */
export interface IControlServicesOptions extends entryLease.IEntryIdentity {
  readonly control: controlClient.IControlClientOptions;
  /** Existing folder that stores the newest configuration; nothing is stored when absent. */
  readonly stateDir?: string;
  /** Configurations of the peers, for a start without the control group. */
  readonly peers?: configurationService.IPeerConfigurations;
}

/**
 * The services of the entry process that use the control group, over one client.
 *
 * @example
 * const control = new ControlServices(options, clock, logService);
 * const app = new EntryApp({ ...control, … });
 * await control.drain(); // after the last request
 * control.dispose();
 */
export class ControlServices implements commonTypes.IDisposable {
  private readonly disposables = new disposableStore.DisposableStore();

  private readonly unsent: outbox.Outbox;

  readonly client: controlClient.ControlClient;

  readonly lease: entryLease.EntryLease;

  readonly feed: controlFeed.ControlFeed;

  readonly configuration: configurationService.ConfigurationService;

  readonly ledger: ledgerService.LedgerService;

  readonly quarantine: quarantineService.QuarantineService;

  readonly zones: zoneService.ZoneService;

  readonly accounting: accountingService.AccountingService;

  /** Connects to the control group and starts to follow its configuration. */
  constructor(
    options: IControlServicesOptions,
    clock: commonTypes.IClock,
    logService: loggers.ILogService,
  ) {
    const { disposables } = this;
    const { name, zone, stateDir, peers } = options;
    const identity = { name, zone };
    const file =
      stateDir === undefined ? undefined : new configurationFile.ConfigurationFile(stateDir);
    this.client = disposables.add(new controlClient.ControlClient(options.control, clock));
    const { client } = this;
    this.unsent = disposables.add(new outbox.Outbox(clock, logService));
    this.lease = disposables.add(new entryLease.EntryLease(client, identity, clock, logService));
    const { lease, unsent } = this;
    this.feed = disposables.add(
      new controlFeed.ControlFeed(client, identity, lease, clock, logService),
    );
    this.configuration = disposables.add(
      new configurationService.ConfigurationService(this.feed, lease, logService, file, peers),
    );
    this.ledger = new ledgerService.LedgerService(client, lease, unsent, clock, logService);
    this.quarantine = disposables.add(
      new quarantineService.QuarantineService(client, unsent, this.feed),
    );
    this.zones = disposables.add(new zoneService.ZoneService(this.feed, logService));
    this.accounting = disposables.add(
      new accountingService.AccountingService(client, lease, identity, clock, logService),
    );
    this.feed.start(this.configuration.current?.version ?? 0);
  }

  /** Sends pending data and releases the lease; must be called only when no request is in flight. */
  async drain(): Promise<void> {
    await this.unsent.drain(OUTBOX_DRAIN_TIMEOUT_MS);
    await this.accounting.flush();
    await this.lease.release();
  }

  /** @inheritdoc */
  dispose(): void {
    this.disposables.dispose();
  }
}
