import type * as commonTypes from '../../common/Types.js';
import type * as controlState from '../state/ControlState.js';
import * as ledgerKeys from '../state/LedgerKeys.js';

/** Longest wait of one call; the caller then repeats the call. */
const MAX_WAIT_MS = 1500;
const MAX_WAITING_CALLS = 10_000;

/** Lets callers wait until a ledger record is no longer running. */
export class LedgerWaitService implements commonTypes.IDisposable {
  private readonly waiting = new Map<string, Set<() => void>>();

  private waitingCount = 0;

  private readonly subscription: commonTypes.IDisposable;

  /** Observes the ledger of `state`. */
  constructor(
    private readonly state: controlState.ControlState,
    private readonly clock: commonTypes.IClock,
  ) {
    this.subscription = state.ledger.onEnded((id) => {
      [...(this.waiting.get(id) ?? [])].forEach((wake) => wake());
    });
  }

  /**
   * Resolves with true once the record is not running; with false after MAX_WAIT_MS, or at once when
   * MAX_WAITING_CALLS calls wait already.
   */
  async wait(key: ledgerKeys.ILedgerKey): Promise<boolean> {
    const id = ledgerKeys.recordId(key);
    if (!this.isRunning(id)) {
      return true;
    }
    await this.waitUntilEnded(id);
    return !this.isRunning(id);
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
    [...this.waiting.values()].flatMap((wakes) => [...wakes]).forEach((wake) => wake());
  }

  private isRunning(id: string): boolean {
    return this.state.ledger.get(id)?.state === 'running';
  }

  private waitUntilEnded(id: string): Promise<void> {
    if (this.waitingCount >= MAX_WAITING_CALLS) {
      return Promise.resolve();
    }
    this.waitingCount += 1;
    return new Promise((resolve) => {
      const wakes = this.waiting.get(id) ?? new Set();
      this.waiting.set(id, wakes);
      let timer: commonTypes.IDisposable | undefined;
      const wake = (): void => {
        timer?.dispose();
        this.removeWaiter(id, wake);
        resolve();
      };
      timer = this.clock.setTimer(MAX_WAIT_MS, wake);
      wakes.add(wake);
    });
  }

  private removeWaiter(id: string, wake: () => void): void {
    const wakes = this.waiting.get(id);
    if (wakes?.delete(wake)) {
      this.waitingCount -= 1;
    }
    if (wakes?.size === 0) {
      this.waiting.delete(id);
    }
  }
}
