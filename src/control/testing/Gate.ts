/** Holds whoever waits for it until it is opened. */
export class Gate {
  /** Resolves once the gate is open. */
  readonly opened: Promise<void>;

  private resolve: () => void = () => {};

  /** Starts closed. */
  constructor() {
    this.opened = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  /** Opens it for good. */
  open(): void {
    this.resolve();
  }
}
