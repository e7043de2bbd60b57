import * as disposableStore from '../common/DisposableStore.js';
import type * as commonTypes from '../common/Types.js';
import * as standin from './Standin.js';
import type * as types from './Types.js';

/** Stand-ins of one process; its platform lists show the others. */
export class StandinGroup implements commonTypes.IDisposable {
  /** Stand-ins in the order of their settings. */
  readonly standins: readonly standin.Standin[];

  private readonly store = new disposableStore.DisposableStore();

  /** Does not listen before `start`. */
  constructor(
    entries: readonly types.IStandinOptions[],
    clock: commonTypes.IClock,
    random: commonTypes.IRandom,
  ) {
    this.standins = entries.map((options) =>
      this.store.add(new standin.Standin(options, clock, random, () => this.listed())),
    );
    this.standins.forEach((item) => this.store.add(item.onChange(() => this.refresh())));
  }

  /** Starts all; resolves when all listen. */
  async start(): Promise<void> {
    for (const item of this.standins) {
      await item.start();
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.store.dispose();
  }

  private listed(): readonly types.IListedVm[] {
    return this.standins
      .filter((item) => item.options.kind !== 'platform' && item.address !== '')
      .map((item) => ({
        name: item.options.name,
        address: item.address,
        state: item.faults.leaving ? 'leaving' : 'live',
      }));
  }

  private refresh(): void {
    this.standins.forEach((item) => item.refresh());
  }
}
