/** A one-time gate: callers that await `opened` wait until the gate is opened. */
export class Gate {
  /** Resolves once the gate is open. */
  readonly opened: Promise<void>;

  private resolve: () => void = () => {};

  /** Creates a closed gate. */
  constructor() {
    this.opened = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  /** Opens the gate permanently. */
  open(): void {
    this.resolve();
  }
}
