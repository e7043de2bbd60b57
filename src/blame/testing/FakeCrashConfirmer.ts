import type * as routing from '../../routing/Types.js';
import type * as types from '../Types.js';

/** Confirms the crash of the endpoints that a test names. */
export class FakeCrashConfirmer implements types.ICrashConfirmer {
  /** Ids of the endpoints that are down. */
  readonly crashed = new Set<string>();

  /** Ids of the endpoints that were checked, in order. */
  readonly checked: string[] = [];

  /** @inheritdoc */
  async hasCrashed({ id }: routing.IEndpoint): Promise<boolean> {
    this.checked.push(id);
    return this.crashed.has(id);
  }
}
