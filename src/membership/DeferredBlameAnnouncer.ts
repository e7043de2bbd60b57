import type * as crashBlame from '../entry/stage/CrashBlame.js';

/**
 * Forwards announcements to an announcer that is attached later, which resolves the circular dependency between
 * the exchange and the decisions. Announcements made before are dropped.
 */
export class DeferredBlameAnnouncer implements crashBlame.IBlameAnnouncer {
  private target: crashBlame.IBlameAnnouncer | undefined;

  /** Forwards all further announcements to `target`. */
  attach(target: crashBlame.IBlameAnnouncer): void {
    this.target = target;
  }

  /** @inheritdoc */
  async announce(hints: readonly crashBlame.IBlameHint[]): Promise<void> {
    await this.target?.announce(hints);
  }
}
