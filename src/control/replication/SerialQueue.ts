/** Queue that runs asynchronous actions one at a time, in the order of the calls. */
export class SerialQueue {
  private lastAction: Promise<unknown> = Promise.resolve();

  /**
   * Runs `action` after all earlier actions have settled, and settles with its result. A failed action does not
   * stop the later ones.
   *
   * @example
   * await serialQueue.run(async () => store.saveVote(vote));
   */
  run<T>(action: () => Promise<T>): Promise<T> {
    const result = this.lastAction.then(action);
    this.lastAction = result.catch(() => {});
    return result;
  }
}
