/** Runs asynchronous actions one after another. */
export class SerialQueue {
  private tail: Promise<unknown> = Promise.resolve();

  /**
   * Runs `action` after all earlier ones have ended.
   *
   * @example
   * await serial.run(async () => store.saveVote(vote));
   */
  run<T>(action: () => Promise<T>): Promise<T> {
    const result = this.tail.then(action);
    this.tail = result.catch(() => {});
    return result;
  }
}
