/** Joins the lines of one event loop turn into a single write, which keeps logging cheap in a busy process. */
export class LineBuffer {
  private lines: string[] = [];

  /** Passes complete lines to `write`; lines still buffered when the process exits are written at exit. */
  constructor(private readonly write: (text: string) => void) {
    process.on('exit', () => this.flush());
  }

  /** Adds a line, given without its line terminator. */
  add(line: string): void {
    if (this.lines.length === 0) {
      setImmediate(() => this.flush());
    }
    this.lines.push(line);
  }

  /** Writes the buffered lines immediately. */
  flush(): void {
    if (this.lines.length === 0) {
      return;
    }
    const text = `${this.lines.join('\n')}\n`;
    this.lines = [];
    this.write(text);
  }
}
