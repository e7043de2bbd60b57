import type * as crashTracker from '../entry/stage/CrashTracker.js';

/** Stands for the announcer until it exists: the exchange and the decisions need each other. */
export class LateAnnouncer implements crashTracker.IBlameAnnouncer {
  private target: crashTracker.IBlameAnnouncer | undefined;

  /** Announcements go to `target` from now on. */
  attach(target: crashTracker.IBlameAnnouncer): void {
    this.target = target;
  }

  /** @inheritdoc */
  async announce(hints: readonly crashTracker.IBlameHint[]): Promise<void> {
    await this.target?.announce(hints);
  }
}
