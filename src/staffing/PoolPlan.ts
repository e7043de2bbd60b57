/** Computes the number of endpoints that the pools of a declaration need for an expected load. */
import * as zod from 'zod';
import type * as configTypes from '../config/Types.js';
import * as erlangC from './ErlangC.js';

const MS_PER_SECOND = 1000;
const MAX_DELAYED_RATIO = 0.99;
const DEFAULT_DELAYED_RATIO = 0.05;

const poolLoad = zod.strictObject({
  /** Name of a declared pool. */
  name: zod.string(),
  /** Arrival rate in calls per second. */
  rate: zod.number().positive(),
  /** Mean service time of a call in milliseconds. */
  serviceMs: zod.number().positive(),
  /** Number of calls that one endpoint processes concurrently. */
  slots: zod.number().int().positive().default(1),
  /** Maximum fraction of calls that may wait longer than `waitMs`. */
  delayed: zod.number().positive().max(MAX_DELAYED_RATIO).default(DEFAULT_DELAYED_RATIO),
  /** Allowed waiting time of a call in milliseconds. */
  waitMs: zod.number().nonnegative().default(0),
});

/** Schema of a load file: the expected load of each pool to plan, at least one. */
export const loadSchema = zod.strictObject({ pools: zod.array(poolLoad).min(1) });

/** A validated load file. */
export type Load = zod.infer<typeof loadSchema>;

/** Expected load of one pool. */
export type PoolLoad = Load['pools'][number];

/** Planned size of one pool. */
export interface IPoolPlan {
  /** Name of the pool. */
  readonly pool: string;
  /** Mean number of calls in service, in erlangs. */
  readonly offeredLoad: number;
  /** Fraction of calls expected to wait longer than allowed at the planned size, 0 to 1. */
  readonly delayed: number;
  /** Number of endpoints needed. */
  readonly endpoints: number;
  /** Number of endpoints needed to still have `endpoints` of them after the loss of the largest availability zone. */
  readonly withZoneLost: number;
  /** Number of endpoints declared; undefined if the pool is not declared. */
  readonly declared: number | undefined;
}

/**
 * Smallest number of endpoints, spread evenly over the zones, of which at least `needed` remain after the loss of
 * one zone. A single zone cannot be compensated for, so the result is then `needed`.
 */
function endpointsWithZoneLoss(needed: number, zones: number): number {
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
  const allowedWait = load.waitMs / load.serviceMs;
  const { servers, delayedRatio } = erlangC.requiredServers(offeredLoad, load.delayed, allowedWait);
  const endpoints = Math.ceil(servers / load.slots);
  return {
    pool: load.name,
    offeredLoad,
    delayed: delayedRatio,
    endpoints,
    withZoneLost: endpointsWithZoneLoss(endpoints, declaration.zones.length),
    declared: declaration.pools.find(({ name }) => name === load.name)?.endpoints.length,
  };
}

/**
 * Computes the size of each pool in a load, in the order of the load. Pools that are not declared are planned too.
 *
 * @example
 * const plans = planPools(load, declaration);
 */
export function planPools(load: Load, declaration: configTypes.IDeclaration): readonly IPoolPlan[] {
  return load.pools.map((pool) => planPool(pool, declaration));
}
