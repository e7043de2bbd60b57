import type * as crashBlame from '../entry/stage/CrashBlame.js';

/** Stands for the announcer until it exists: the exchange and the decisions need each other. */
export class DeferredBlameAnnouncer implements crashBlame.IBlameAnnouncer {
  private target: crashBlame.IBlameAnnouncer | undefined;

  /** Announcements go to `target` from now on. */
  attach(target: crashBlame.IBlameAnnouncer): void {
    this.target = target;
  }

  /** @inheritdoc */
  async announce(hints: readonly crashBlame.IBlameHint[]): Promise<void> {
    await this.target?.announce(hints);
  }
}
