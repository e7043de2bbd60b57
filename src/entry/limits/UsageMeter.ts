import type * as commonTypes from '../../common/Types.js';
import type * as membershipTypes from '../../membership/Types.js';
import type * as admission from './Admission.js';

const MS_PER_SECOND = 1_000;

/** Turns the work served here into rates for the other entry VMs, and charges theirs here. */
export class UsageMeter implements commonTypes.IDisposable {
  private rates: readonly membershipTypes.IUsage[] = [];

  private timer: commonTypes.IDisposable;

  /** Reads the pools of `places` once in `intervalMs`. */
  constructor(
    private readonly admission: admission.Admission,
    private readonly clock: commonTypes.IClock,
    private readonly intervalMs: commonTypes.Millis,
  ) {
    this.timer = this.clock.setTimer(intervalMs, () => this.read());
  }

  /** Rates of the last interval, the largest first. */
  usages(): readonly membershipTypes.IUsage[] {
    return this.rates;
  }

  /** Charges an interval of work that the other VMs serve. */
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

  private read(): void {
    const rates = this.admission.poolNames().flatMap((pool) => this.readPool(pool));
    this.rates = rates.sort((a, b) => b.rate - a.rate);
    this.timer = this.clock.setTimer(this.intervalMs, () => this.read());
  }

  private readPool(pool: string): readonly membershipTypes.IUsage[] {
    const served = this.admission.findPool(pool)?.drainServed() ?? [];
    return served.map(({ workspace, patience, work }) => ({
      pool,
      workspace,
      patient: patience === 'patient',
      rate: Math.round((work * MS_PER_SECOND) / this.intervalMs),
    }));
  }
}
