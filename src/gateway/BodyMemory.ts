import * as blockPool from '../common/memory/BlockPool.js';
import type * as byteBudget from '../common/memory/ByteBudget.js';
import * as collector from '../common/memory/Collector.js';
import type * as commonTypes from '../common/Types.js';
import * as connectionLeases from './ConnectionLeases.js';
import * as smallParts from './SmallParts.js';

/** What all bodies of a process share: those of its callers and those that it reads from endpoints. */
export interface IBodyMemory {
  readonly budget: byteBudget.ByteBudget;
  readonly leases: connectionLeases.ConnectionLeases;
  readonly pool: blockPool.BlockPool;
  readonly collector: Pick<collector.Collector, 'recordReceived'>;
  readonly smallParts: smallParts.SmallParts;
}

/**
 * Creates what the bodies of one process share, within `budget`.
 *
 * @example
 * const bodies = createBodyMemory(budget, clock, globalThis.gc);
 */
export function createBodyMemory(
  budget: byteBudget.ByteBudget,
  clock: commonTypes.IClock,
  collect: collector.CollectFn | undefined,
): IBodyMemory {
  const pool = new blockPool.BlockPool();
  return {
    budget,
    leases: new connectionLeases.ConnectionLeases(budget),
    pool,
    collector: new collector.Collector({ clock, budget, pool, collect }),
    smallParts: new smallParts.SmallParts(),
  };
}
