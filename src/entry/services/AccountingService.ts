import type * as control from '#wire/control.js';
import * as latencyBuckets from '../../common/LatencyBuckets.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as accountingRows from '../../control/state/AccountingRows.js';
import * as limits from '../../control/state/Limits.js';
import type * as stateTypes from '../../control/state/Types.js';
import type * as entryLease from './EntryLease.js';
import type * as services from './Services.js';

/** Interval between reports; a kill of this process loses at most the requests of one interval. */
const FLUSH_INTERVAL_MS = 5000;
const FLUSH_TIMEOUT_MS = 4000;
const PERIOD_MS = 60 * 60 * 1000;
/** Maximum distinct rows buffered while the control group is unreachable; requests beyond it are dropped and counted. */
const MAX_ROWS = 20_000;

type Report = control.wire.AccountingReport.$Properties;

/** Aggregates finished requests and sends them with a sequence number, so that the control group counts each once. */
export class AccountingService implements services.IAccountingService {
  private readonly stop = new AbortController();

  private readonly rows = new Map<string, stateTypes.AccountingRow>();

  private sequence = 0;

  /** Report that was sent and not acknowledged; it is resent unchanged. */
  private pending: Report | undefined;

  private dropped = 0;

  /** Starts the task that sends reports. */
  constructor(
    private readonly client: controlClient.ControlClient,
    private readonly lease: entryLease.EntryLease,
    private readonly identity: entryLease.IEntryIdentity,
    private readonly clock: commonTypes.IClock,
    private readonly logService: loggers.ILogService,
  ) {
    void this.run();
  }

  /** @inheritdoc */
  record(record: services.IRequestRecord): void {
    const row = this.toRow(record);
    if (this.rows.size >= MAX_ROWS && !this.rows.has(accountingRows.keyOf(row))) {
      this.dropped += 1;
      return;
    }
    accountingRows.addTo(this.rows, row);
  }

  /** Sends all buffered rows; resolves with false when the control group did not accept a report. */
  async flush(): Promise<boolean> {
    while (this.pending !== undefined || this.rows.size > 0) {
      this.pending ??= this.takeReport();
      try {
        await this.send(this.pending);
      } catch (err) {
        const reason = err instanceof Error ? err.message : String(err);
        this.logService.warn('accounting-not-sent', { rows: this.rows.size, reason });
        return false;
      }
      this.pending = undefined;
    }
    return true;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.clock.sleep(FLUSH_INTERVAL_MS, this.stop.signal).catch(() => {});
      if (!this.stop.signal.aborted) {
        await this.flush();
        this.logDropped();
      }
    }
  }

  private async send(accountingReport: Report): Promise<void> {
    const command = { actor: this.identity.name, accountingReport };
    await this.client.execute(command, { timeout: FLUSH_TIMEOUT_MS });
  }

  private takeReport(): Report {
    const taken = [...this.rows].slice(0, limits.LIMITS.accountingRowsPerReport);
    taken.forEach(([key]) => this.rows.delete(key));
    this.sequence += 1;
    const rows = taken.map(([, row]) => row as control.wire.AccountingRow.$Properties);
    return { incarnation: this.lease.incarnation, sequence: this.sequence, rows };
  }

  private logDropped(): void {
    if (this.dropped > 0) {
      this.logService.error('accounting-dropped', { requests: this.dropped });
      this.dropped = 0;
    }
  }

  private toRow(record: services.IRequestRecord): stateTypes.AccountingRow {
    const bucket = latencyBuckets.bucketOf(record.latency);
    return {
      period: Math.floor(this.clock.now() / PERIOD_MS) * PERIOD_MS,
      span: PERIOD_MS,
      workspace: record.workspace,
      target: record.target,
      kind: record.kind,
      outcome: record.outcome,
      count: 1,
      latency: Array.from({ length: latencyBuckets.LATENCY_BUCKET_COUNT }, (_, at) =>
        at === bucket ? 1 : 0,
      ),
      costs: record.costs,
    };
  }
}
