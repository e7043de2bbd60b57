import type * as crashTracker from '../entry/stage/CrashTracker.js';

/**
 * Forwards announcements to an announcer that is attached later, which resolves the circular dependency between
 * the exchange and the decisions. Announcements made before are dropped.
 */
export class DeferredBlameAnnouncer implements crashTracker.IBlameAnnouncer {
  private target: crashTracker.IBlameAnnouncer | undefined;

  /** Forwards all further announcements to `target`. */
  attach(target: crashTracker.IBlameAnnouncer): void {
    this.target = target;
  }

  /** @inheritdoc */
  async announce(hints: readonly crashTracker.IBlameHint[]): Promise<void> {
    await this.target?.announce(hints);
  }
}
