/**
 * Lets one task wait for a notification. A notification sent while no task waits is kept for the next wait.
 *
 * @example
 * wakeup.notify();
 * await wakeup.wait(); // resolves immediately
 */
export class Wakeup {
  private pending = false;

  private resolve: (() => void) | undefined;

  /** Resolves the pending wait, or makes the next wait resolve immediately. */
  notify(): void {
    this.pending = true;
    this.resolve?.();
  }

  /** Resolves at the next notification, or immediately when one was sent since the last wait. */
  async wait(): Promise<void> {
    if (!this.pending) {
      await new Promise<void>((resolve) => {
        this.resolve = resolve;
      });
    }
    this.pending = false;
    this.resolve = undefined;
  }
}
