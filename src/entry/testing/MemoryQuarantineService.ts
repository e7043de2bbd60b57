import type * as services from '../services/Services.js';

const QUARANTINE_CRASHES = 2;

/** In-memory quarantine list for tests; two crashes quarantine a fingerprint. */
export class MemoryQuarantineService implements services.IQuarantineService {
  /** Number of reported crashes by fingerprint. */
  readonly crashes = new Map<string, number>();

  /** @inheritdoc */
  isQuarantined(fingerprint: string): boolean {
    return (this.crashes.get(fingerprint) ?? 0) >= QUARANTINE_CRASHES;
  }

  /** @inheritdoc */
  isSuspect(fingerprint: string): boolean {
    return this.crashes.get(fingerprint) === 1;
  }

  /** @inheritdoc */
  async reportCrash(endpoint: string, fingerprints: readonly string[]): Promise<void> {
    fingerprints.forEach((fingerprint) => {
      this.crashes.set(fingerprint, (this.crashes.get(fingerprint) ?? 0) + 1);
    });
  }
}
