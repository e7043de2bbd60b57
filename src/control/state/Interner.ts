/** Reaching this number clears the table, which bounds its memory. */
const MAX_NAMES = 10_000;

/** Shares one instance between equal strings, since each decoded message holds a copy of its own. */
export class Interner {
  private readonly names = new Map<string, string>();

  /** Returns the stored instance of an equal string, or stores this one. */
  intern(name: string): string {
    const known = this.names.get(name);
    if (known !== undefined) {
      return known;
    }
    if (this.names.size >= MAX_NAMES) {
      this.names.clear();
    }
    this.names.set(name, name);
    return name;
  }
}
