import type * as services from '../services/Services.js';

interface IRecord {
  readonly bodyHash: string;
  outcome: services.LedgerOutcome | undefined;
  readonly waiters: (() => void)[];
}

/** In-memory at-most-once ledger for tests; it simulates a lost quorum while `available` is false. */
export class MemoryLedgerService implements services.ILedgerService {
  /** Whether a quorum is available. */
  available = true;

  private readonly records = new Map<string, IRecord>();

  /** @inheritdoc */
  async begin(intent: services.IIntent): Promise<services.LedgerDecision> {
    this.checkAvailable();
    const key = keyOf(intent);
    const record = this.records.get(key);
    if (!record) {
      this.records.set(key, { bodyHash: intent.bodyHash, outcome: undefined, waiters: [] });
      return { state: 'granted', token: intent.requestId };
    }
    return decide(record, intent);
  }

  /** @inheritdoc */
  async wait(intent: services.IIntent): Promise<services.LedgerDecision> {
    const record = this.records.get(keyOf(intent));
    if (!record) {
      return this.begin(intent);
    }
    if (!record.outcome) {
      await new Promise<void>((resolve) => {
        record.waiters.push(resolve);
      });
    }
    return decide(record, intent);
  }

  /** @inheritdoc */
  async finish(
    intent: services.IIntent,
    token: string,
    outcome: services.LedgerOutcome,
  ): Promise<void> {
    this.checkAvailable();
    const record = this.records.get(keyOf(intent));
    if (!record) {
      return;
    }
    if (outcome.state === 'not-run') {
      this.records.delete(keyOf(intent));
    }
    record.outcome = outcome;
    record.waiters.forEach((wake) => wake());
  }

  private checkAvailable(): void {
    if (!this.available) {
      throw new Error('no quorum');
    }
  }
}

function keyOf(intent: services.IIntent): string {
  return JSON.stringify([intent.workspace, intent.target, intent.key]);
}

function decide(record: IRecord, intent: services.IIntent): services.LedgerDecision {
  if (record.bodyHash !== intent.bodyHash) {
    return { state: 'key-reused' };
  }
  if (record.outcome?.state === 'finished') {
    return { state: 'finished', answer: record.outcome.answer };
  }
  return { state: record.outcome ? 'unknown' : 'running' };
}
