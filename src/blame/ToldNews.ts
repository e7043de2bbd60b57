import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** The news that another VM has sent, and that need not be sent to it. */
export class ToldNews {
  /** Suspected requests by crash. */
  private readonly suspects = new Map<string, ReadonlySet<string>>();

  /** Times of the latest successes, on the monotonic clock, by trait. */
  private readonly proofs = new Map<string, commonTypes.Millis>();

  /** Starts without news. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Records news of the other VM. */
  record({ crashes, proofs }: types.IBlameNews): void {
    crashes.forEach(({ id, suspects }) => {
      const requests = suspects.map(({ request }) => request);
      this.suspects.set(id, new Set([...(this.suspects.get(id) ?? []), ...requests]));
    });
    proofs.forEach(({ trait, age }) => this.proofs.set(trait, this.clock.monotonic() - age));
  }

  /** Forgets all, because another VM is connected. */
  clear(): void {
    this.suspects.clear();
    this.proofs.clear();
  }

  /** Returns the part of the news that the other VM may not know. */
  without({ crashes, proofs }: types.IBlameNews): types.IBlameNews {
    const now = this.clock.monotonic();
    return {
      crashes: crashes.filter(({ id, suspects }) => {
        const told = this.suspects.get(id);
        return told === undefined || suspects.some(({ request }) => !told.has(request));
      }),
      proofs: proofs.filter(({ trait, age }) => now - age > (this.proofs.get(trait) ?? -Infinity)),
    };
  }
}
