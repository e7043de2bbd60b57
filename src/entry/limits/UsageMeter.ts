import type * as commonTypes from '../../common/Types.js';
import type * as membershipTypes from '../../membership/Types.js';
import type * as admission from './Admission.js';

const MS_PER_SECOND = 1_000;

/**
 * Measures the work rates that this VM reports to the other entry VMs, and charges the rates that they
 * report to the local queues, so that workspace shares hold across all entry VMs.
 */
export class UsageMeter implements commonTypes.IDisposable {
  private rates: readonly membershipTypes.IUsage[] = [];

  private timer: commonTypes.IDisposable;

  /** Reads all pools of `admission` every `intervalMs` milliseconds. */
  constructor(
    private readonly admission: admission.Admission,
    private readonly clock: commonTypes.IClock,
    private readonly intervalMs: commonTypes.Millis,
  ) {
    this.timer = this.clock.setTimer(intervalMs, () => this.refreshRates());
  }

  /** Rates of the last interval in slot-milliseconds per second, in descending order. */
  usages(): readonly membershipTypes.IUsage[] {
    return this.rates;
  }

  /** Charges one interval of the work rates that other entry VMs report. */
  chargeRemoteWork(usages: readonly membershipTypes.IUsage[]): void {
    usages.forEach(({ pool, workspace, patient, rate }) =>
      this.admission.findPool(pool)?.chargeRemoteWork({
        workspace,
        patience: patient ? 'patient' : 'interactive',
        work: (rate * this.intervalMs) / MS_PER_SECOND,
      }),
    );
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer.dispose();
  }

  private refreshRates(): void {
    const rates = this.admission.poolNames().flatMap((pool) => this.drainPool(pool));
    this.rates = rates.sort((a, b) => b.rate - a.rate);
    this.timer = this.clock.setTimer(this.intervalMs, () => this.refreshRates());
  }

  private drainPool(pool: string): readonly membershipTypes.IUsage[] {
    const served = this.admission.findPool(pool)?.drainServed() ?? [];
    return served.map(({ workspace, patience, work }) => ({
      pool,
      workspace,
      patient: patience === 'patient',
      rate: Math.round((work * MS_PER_SECOND) / this.intervalMs),
    }));
  }
}
