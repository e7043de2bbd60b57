/** Finds the line number of a value in TOML text, for use in findings. */

const HEADER_PATTERN = /^\s*(\[\[?)\s*([\w."'-]+(?:\s*\.\s*[\w."'-]+)*)\s*\]/;
const KEY_PATTERN = /^\s*([\w"'-]+(?:\s*\.\s*[\w"'-]+)*)\s*=/;

function splitKey(key: string): readonly string[] {
  return key.split('.').map((part) => part.trim().replace(/^["']|["']$/g, ''));
}

/**
 * Maps the paths of values to the lines of their table headers and keys.
 * The text is scanned by line, not parsed: a line inside a multi-line string that looks like a header can
 * shift the result. The only consequence is a wrong line number in a message.
 */
export class LineIndex {
  private readonly lines = new Map<string, number>();

  /** Number of entries scanned so far of each array of tables, by its path. */
  private readonly counts = new Map<string, number>();

  private table = '';

  private scanned = false;

  /** The text is scanned at the first call of `lineOf`, since most files have no findings. */
  constructor(private readonly text: string) {}

  /**
   * Returns the line number (starting at 1) of the value at a path such as `pools[0].endpoints[2].address`, or
   * of its closest enclosing table; undefined when neither starts on a line of its own.
   */
  lineOf(path: string): number | undefined {
    this.scanOnce();
    for (
      let ancestor = path;
      ancestor !== '';
      ancestor = ancestor.replace(/(^|\.)[^.[\]]+$|\[\d+\]$/, '')
    ) {
      const line = this.lines.get(ancestor);
      if (line !== undefined) {
        return line;
      }
    }
    return undefined;
  }

  private scanOnce(): void {
    if (!this.scanned) {
      this.scanned = true;
      this.text.split('\n').forEach((line, index) => this.scan(line, index + 1));
    }
  }

  private scan(line: string, lineNumber: number): void {
    const header = HEADER_PATTERN.exec(line);
    if (header) {
      this.enterTable(splitKey(header[2] ?? ''), header[1] === '[[', lineNumber);
      return;
    }
    const key = KEY_PATTERN.exec(line);
    if (key) {
      this.recordKey(splitKey(key[1] ?? ''), lineNumber);
    }
  }

  private enterTable(parts: readonly string[], isArray: boolean, lineNumber: number): void {
    const parent = parts.slice(0, -1).reduce((path, part) => this.resolveChild(path, part), '');
    const plain = join(parent, parts.at(-1) ?? '');
    if (!isArray) {
      this.table = plain;
    } else {
      const count = this.counts.get(plain) ?? 0;
      this.counts.set(plain, count + 1);
      this.table = `${plain}[${count}]`;
    }
    this.lines.set(this.table, lineNumber);
    if (!this.lines.has(plain)) {
      this.lines.set(plain, lineNumber);
    }
  }

  /** Returns the path that later headers refer to: for an array of tables, the path of its last entry. */
  private resolveChild(path: string, part: string): string {
    const plain = join(path, part);
    const count = this.counts.get(plain);
    return count === undefined ? plain : `${plain}[${count - 1}]`;
  }

  private recordKey(parts: readonly string[], lineNumber: number): void {
    let path = this.table;
    parts.forEach((part) => {
      path = join(path, part);
      if (!this.lines.has(path)) {
        this.lines.set(path, lineNumber);
      }
    });
  }
}

function join(path: string, part: string): string {
  return path === '' ? part : `${path}.${part}`;
}
