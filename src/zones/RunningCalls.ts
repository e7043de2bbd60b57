import type * as commonTypes from '../common/Types.js';

/** Counts the calls of this process that run at each address, so that operators see when a closed zone is empty. */
export class RunningCalls {
  private readonly counts = new Map<string, number>();

  /** Records the start of a call; `dispose` records its end, once. */
  begin(address: string): commonTypes.IDisposable {
    this.counts.set(address, this.countAt(address) + 1);
    let isEnded = false;
    return {
      dispose: () => {
        if (!isEnded) {
          isEnded = true;
          this.end(address);
        }
      },
    };
  }

  /** Number of running calls at the addresses that `isIncluded` names. */
  count(isIncluded: (address: string) => boolean): number {
    return [...this.counts]
      .filter(([address]) => isIncluded(address))
      .reduce((sum, [, count]) => sum + count, 0);
  }

  private end(address: string): void {
    const left = this.countAt(address) - 1;
    if (left > 0) {
      this.counts.set(address, left);
    } else {
      this.counts.delete(address);
    }
  }

  private countAt(address: string): number {
    return this.counts.get(address) ?? 0;
  }
}
