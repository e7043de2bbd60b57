import type * as batching from '../../src/batching/Types.js';
import type * as routing from '../../src/routing/Types.js';

const NEVER = new Promise<never>(() => {});

/** Stage calls of a process that can be killed: what it had asked for is still made, and nobody learns of it. */
export class MortalCaller implements batching.IStageCaller {
  /** Whether the process was killed. */
  dead = false;

  /** Calls `stages` while it lives. */
  constructor(private readonly stages: batching.IStageCaller) {}

  /** @inheritdoc */
  async run(
    endpoint: routing.IEndpoint,
    items: readonly batching.IStageItem[],
    timeout: number,
  ): Promise<readonly batching.ItemOutcome[]> {
    if (this.dead) {
      return NEVER;
    }
    const results = await this.stages.run(endpoint, items, timeout);
    return this.dead ? NEVER : results;
  }

  /** @inheritdoc */
  async free(endpoint: routing.IEndpoint, handles: readonly string[]): Promise<boolean> {
    return this.dead ? NEVER : this.stages.free(endpoint, handles);
  }
}
