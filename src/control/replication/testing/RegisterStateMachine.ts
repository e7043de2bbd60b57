import type * as controlTypes from '../../Types.js';

interface ICommand {
  readonly key: string;
  readonly value: string;
}

/** A command that writes a register; its result is the value before. */
export function encodeWrite(key: string, value: string): Uint8Array {
  return Buffer.from(JSON.stringify({ key, value }));
}

/** A command as the text that observers see. */
export function decodeText(command: Uint8Array): string {
  return Buffer.from(command).toString();
}

/** A state machine for tests: named registers, whose writes an observer sees. */
export class RegisterStateMachine implements controlTypes.IStateMachine {
  private values = new Map<string, string>();

  /** Tells `observer` of each applied command. */
  constructor(private readonly observer: (index: number, command: string) => void = () => {}) {}

  /** Value of a register. */
  get(key: string): string | undefined {
    return this.values.get(key);
  }

  /** All registers, by name. */
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
