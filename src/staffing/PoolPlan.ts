/** Sizes the pools of a declaration for a stated load. */
import * as zod from 'zod';
import type * as configTypes from '../config/Types.js';
import * as erlangC from './ErlangC.js';

const MS_PER_SECOND = 1000;
const MAX_DELAYED = 0.99;
const DEFAULT_DELAYED = 0.05;

const poolLoad = zod.strictObject({
  /** Name of a declared pool. */
  name: zod.string(),
  /** Calls a second that reach it. */
  rate: zod.number().positive(),
  /** Mean milliseconds of one call. */
  serviceMs: zod.number().positive(),
  /** Calls that one endpoint works on at a time. */
  slots: zod.number().int().positive().default(1),
  /** Share of calls that may wait longer than `waitMs`. */
  delayed: zod.number().positive().max(MAX_DELAYED).default(DEFAULT_DELAYED),
  /** Milliseconds of waiting that are allowed. */
  waitMs: zod.number().nonnegative().default(0),
});

/** The load that pools are sized for. */
export const loadSchema = zod.strictObject({ pools: zod.array(poolLoad).min(1) });

/** A load that passed the schema. */
export type Load = zod.infer<typeof loadSchema>;

/** Load of one pool. */
export type PoolLoad = Load['pools'][number];

/** Size of one pool. */
export interface IPoolPlan {
  readonly pool: string;
  /** Mean number of calls being worked on. */
  readonly offeredLoad: number;
  /** Share of calls that would wait too long at the planned size. */
  readonly delayed: number;
  /** Endpoints needed. */
  readonly endpoints: number;
  /** Endpoints needed so that the rest suffices when the largest availability zone is lost. */
  readonly withZoneLost: number;
  /** Endpoints declared; undefined when the pool is not. */
  readonly declared: number | undefined;
}

/** Fewest endpoints spread evenly over the zones such that `needed` stay when one zone is lost. */
function spareFor(needed: number, zones: number): number {
  if (zones < 2) {
    return needed;
  }
  let total = needed;
  while (total - Math.ceil(total / zones) < needed) {
    total += 1;
  }
  return total;
}

function planPool(load: PoolLoad, declaration: configTypes.IDeclaration): IPoolPlan {
  const offeredLoad = (load.rate * load.serviceMs) / MS_PER_SECOND;
  const wait = load.waitMs / load.serviceMs;
  const { servers, delayedRatio: delayed } = erlangC.requiredServers(
    offeredLoad,
    load.delayed,
    wait,
  );
  const endpoints = Math.ceil(servers / load.slots);
  return {
    pool: load.name,
    offeredLoad,
    delayed,
    endpoints,
    withZoneLost: spareFor(endpoints, declaration.zones.length),
    declared: declaration.pools.find(({ name }) => name === load.name)?.endpoints.length,
  };
}

/**
 * Plans each pool of a load.
 *
 * @example
 * const plans = planPools(load, declaration);
 */
export function planPools(load: Load, declaration: configTypes.IDeclaration): readonly IPoolPlan[] {
  return load.pools.map((pool) => planPool(pool, declaration));
}
