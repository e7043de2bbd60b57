import type * as controlTypes from '../../Types.js';

interface ICommand {
  readonly key: string;
  readonly value: string;
}

/** Encodes a command that writes a register; the result of the command is the previous value. */
export function encodeWrite(key: string, value: string): Uint8Array {
  return Buffer.from(JSON.stringify({ key, value }));
}

/** Decodes a command to the text that observers receive. */
export function decodeText(command: Uint8Array): string {
  return Buffer.from(command).toString();
}

/** State machine for tests: a set of named registers. An observer receives each applied write. */
export class RegisterStateMachine implements controlTypes.IStateMachine {
  private values = new Map<string, string>();

  /** Calls `observer` with the index and the text of each applied command. */
  constructor(private readonly observer: (index: number, command: string) => void = () => {}) {}

  /** Returns the value of a register; undefined when it was never written. */
  get(key: string): string | undefined {
    return this.values.get(key);
  }

  /** Returns all registers as name and value, sorted by name. */
  entries(): readonly (readonly [string, string])[] {
    return [...this.values].sort(([a], [b]) => (a < b ? -1 : 1));
  }

  /** @inheritdoc */
  apply(index: number, command: Uint8Array): Uint8Array {
    const text = decodeText(command);
    const { key, value } = JSON.parse(text) as ICommand;
    const previous = this.values.get(key) ?? '';
    this.values.set(key, value);
    this.observer(index, text);
    return Buffer.from(previous);
  }

  /** @inheritdoc */
  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify([...this.values]));
  }

  /** @inheritdoc */
  restore(snapshot: Uint8Array): void {
    const pairs = JSON.parse(Buffer.from(snapshot).toString()) as [string, string][];
    this.values = new Map(pairs);
  }
}
