import type * as services from '../services/Services.js';

/** Accounting service for tests that keeps all records in memory. */
export class RecordingAccountingService implements services.IAccountingService {
  /** Records in the order in which the requests ended. */
  readonly records: services.IRequestRecord[] = [];

  /** @inheritdoc */
  record(record: services.IRequestRecord): void {
    this.records.push(record);
  }

  /** @inheritdoc */
  dispose(): void {}
}
