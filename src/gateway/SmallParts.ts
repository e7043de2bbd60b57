/** A body in more parts than these, smaller on average than SMALL_BYTES, is one in small parts. */
const MAX_PARTS = 2000;
const SMALL_BYTES = 64;

/**
 * Lets one body in very small parts at a time be read, since each part costs as much processor time as a large one.
 *
 * @example
 * if (!smallParts.admit(body, parts, bytes)) {
 *   refuse();
 * }
 */
export class SmallParts {
  private reader: object | undefined;

  /** Whether `body`, of which `parts` with `bytes` have arrived, may be read on. */
  admit(body: object, parts: number, bytes: number): boolean {
    if (parts <= MAX_PARTS || bytes >= parts * SMALL_BYTES) {
      return true;
    }
    this.reader ??= body;
    return this.reader === body;
  }

  /** Records that a body is read no more. */
  leave(body: object): void {
    if (this.reader === body) {
      this.reader = undefined;
    }
  }
}
