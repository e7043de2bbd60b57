import type * as commonTypes from '../../../common/Types.js';

/**
 * Clock of one simulated process. While it is frozen, as by SIGSTOP, its timers do not fire although time
 * passes.
 */
export class FreezableClock implements commonTypes.IClock {
  private isFrozen = false;

  private readonly dueCallbacks = new Set<() => void>();

  /** Derives from the clock of the simulation. */
  constructor(private readonly simulationClock: commonTypes.IClock) {}

  /** Freezes the process: timers that become due are held back. */
  freeze(): void {
    this.isFrozen = true;
  }

  /** Resumes the process: all timers that became due meanwhile fire immediately. */
  thaw(): void {
    this.isFrozen = false;
    const callbacks = [...this.dueCallbacks];
    this.dueCallbacks.clear();
    callbacks.forEach((callback) => callback());
  }

  /** @inheritdoc */
  now(): commonTypes.Millis {
    return this.simulationClock.now();
  }

  /** @inheritdoc */
  monotonic(): commonTypes.Millis {
    return this.simulationClock.monotonic();
  }

  /** @inheritdoc */
  setTimer(delay: commonTypes.Millis, callback: () => void): commonTypes.IDisposable {
    const fire = () => {
      if (this.isFrozen) {
        this.dueCallbacks.add(callback);
      } else {
        callback();
      }
    };
    const timer = this.simulationClock.setTimer(delay, fire);
    return {
      dispose: () => {
        timer.dispose();
        this.dueCallbacks.delete(callback);
      },
    };
  }

  /** @inheritdoc */
  sleep(delay: commonTypes.Millis, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      let timer: commonTypes.IDisposable | undefined;
      const abort = () => {
        timer?.dispose();
        reject(signal?.reason as Error);
      };
      timer = this.setTimer(delay, () => {
        signal?.removeEventListener('abort', abort);
        resolve();
      });
      signal?.addEventListener('abort', abort);
    });
  }
}
