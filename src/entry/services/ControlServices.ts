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

const DRAIN_MS = 5000;

/** Where the control group is and who this entry VM is. */
export interface IControlServicesOptions extends entryLease.IEntryIdentity {
  readonly control: controlClient.IControlClientOptions;
  /** Existing folder for the newest configuration seen; nothing is kept without it. */
  readonly stateDir?: string;
  /** What the peers hold, for a start without the control group. */
  readonly peers?: configurationService.IPeerConfigurations;
}

/**
 * Everything that the entry asks of the control group, over one client.
 *
 * @example
 * const control = new ControlServices(options, clock, logService);
 * const app = new EntryApp({ ...control, … });
 * await control.drain(); // after the last request
 * control.dispose();
 */
export class ControlServices implements commonTypes.IDisposable {
  private readonly owned = new disposableStore.DisposableStore();

  private readonly unsent: outbox.Outbox;

  readonly client: controlClient.ControlClient;

  readonly lease: entryLease.EntryLease;

  readonly feed: controlFeed.ControlFeed;

  readonly configuration: configurationService.ConfigurationService;

  readonly ledger: ledgerService.LedgerService;

  readonly quarantine: quarantineService.QuarantineService;

  readonly accounting: accountingService.AccountingService;

  /** Connects and starts to follow the configuration. */
  constructor(
    options: IControlServicesOptions,
    clock: commonTypes.IClock,
    logService: loggers.ILogService,
  ) {
    const { owned } = this;
    const { name, zone, stateDir, peers } = options;
    const identity = { name, zone };
    const file =
      stateDir === undefined ? undefined : new configurationFile.ConfigurationFile(stateDir);
    this.client = owned.add(new controlClient.ControlClient(options.control, clock));
    const { client } = this;
    this.unsent = owned.add(new outbox.Outbox(clock, logService));
    this.lease = owned.add(new entryLease.EntryLease(client, identity, clock, logService));
    const { lease, unsent } = this;
    this.feed = owned.add(new controlFeed.ControlFeed(client, identity, lease, clock, logService));
    this.configuration = owned.add(
      new configurationService.ConfigurationService(this.feed, lease, logService, file, peers),
    );
    this.ledger = new ledgerService.LedgerService(client, lease, unsent, clock, logService);
    this.quarantine = owned.add(new quarantineService.QuarantineService(client, unsent, this.feed));
    this.accounting = owned.add(
      new accountingService.AccountingService(client, lease, identity, clock, logService),
    );
    this.feed.start(this.configuration.current?.version ?? 0);
  }

  /** Sends what is still to be told and gives the lease back; call it when no request is in flight. */
  async drain(): Promise<void> {
    await this.unsent.drain(DRAIN_MS);
    await this.accounting.flush();
    await this.lease.release();
  }

  /** @inheritdoc */
  dispose(): void {
    this.owned.dispose();
  }
}
