import type * as commonTypes from '../Types.js';
import type * as blockPool from './BlockPool.js';
import type * as byteBudget from './ByteBudget.js';

/** Received bytes after which the copies that Node made of them are collected. */
const YOUNG_INTERVAL_BYTES = 8_388_608;
/** Interval at which the whole heap is collected while the budget is busy, and AFTER_ROUNDS times after. */
const FULL_INTERVAL_MS = 1000;
/** See FULL_INTERVAL_MS: connections that are closed free their memory in turn. */
const AFTER_ROUNDS = 2;

/** The engine's garbage collector, which `node --expose-gc` offers. */
export type CollectFn = (options?: { readonly type: 'minor' | 'major' }) => void;

/**
 * Collects garbage while much is held or received for callers. Node keeps each part of a body outside the heap, so that
 * the engine alone would collect them too late for a VM with little memory.
 *
 * @example
 * const collector = new Collector({ clock, budget, pool, collect: globalThis.gc });
 * collector.recordReceived(part.length);
 */
export class Collector implements commonTypes.IDisposable {
  private receivedBytes = 0;

  private roundsLeft = 0;

  private timer: commonTypes.IDisposable | undefined;

  /** Without `collect`, for which the program must run with `--expose-gc`, it only trims the pool. */
  constructor(
    private readonly deps: {
      readonly clock: commonTypes.IClock;
      readonly budget: byteBudget.ByteBudget;
      readonly pool: blockPool.BlockPool;
      readonly collect: CollectFn | undefined;
    },
  ) {
    this.schedule();
  }

  /** Records bytes of a body that were copied or dropped. */
  recordReceived(bytes: number): void {
    this.receivedBytes += bytes;
    if (this.receivedBytes >= YOUNG_INTERVAL_BYTES) {
      this.receivedBytes = 0;
      this.deps.collect?.({ type: 'minor' });
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer?.dispose();
  }

  private schedule(): void {
    this.timer = this.deps.clock.setTimer(FULL_INTERVAL_MS, () => {
      this.schedule();
      const { budget, pool, collect } = this.deps;
      this.roundsLeft = budget.takeWasBusy() ? 1 + AFTER_ROUNDS : this.roundsLeft - 1;
      if (this.roundsLeft > 0) {
        if (!budget.isBusy) {
          pool.trim();
        }
        collect?.();
      }
    });
  }
}
