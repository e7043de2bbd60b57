/** Puts the handler of each kind of stand-in together. */
import * as tsPattern from 'ts-pattern';
import type * as commonTypes from '../common/Types.js';
import * as engineHandler from './handlers/EngineHandler.js';
import * as orderBook from './handlers/OrderBook.js';
import * as platformHandler from './handlers/PlatformHandler.js';
import * as prefixCache from './handlers/PrefixCache.js';
import * as serviceHandler from './handlers/ServiceHandler.js';
import * as stageHandler from './handlers/StageHandler.js';
import * as weightStoreHandler from './handlers/WeightStoreHandler.js';
import type * as types from './Types.js';

/** A handler with what it holds. */
export interface IHandlerSet extends commonTypes.IDisposable {
  readonly handler: types.IHandler;
  /** Share of cache in use, 0 to 1. */
  cacheUsed(): number;
  /** Tells that what the platform lists may have changed. */
  refresh(): void;
  /** Forgets what a restarted process would have lost. */
  restart(): void;
}

const EMPTY: Omit<IHandlerSet, 'handler'> = {
  cacheUsed: () => 0,
  refresh: () => {},
  restart: () => {},
  dispose: () => {},
};

function createEngine(ctx: types.IStandinContext): IHandlerSet {
  const cache = new prefixCache.PrefixCache(ctx);
  const orders = new orderBook.OrderBook(ctx);
  const stages = new stageHandler.StageHandler(ctx);
  return {
    ...EMPTY,
    handler: new engineHandler.EngineHandler(ctx, cache, orders, stages),
    cacheUsed: () => cache.used,
    restart: () => cache.clear(),
    dispose: () => cache.dispose(),
  };
}

function createPlatform(
  ctx: types.IStandinContext,
  listed: () => readonly types.IListedVm[],
): IHandlerSet {
  const handler = new platformHandler.PlatformHandler(ctx, listed, ctx.options.vms);
  return {
    ...EMPTY,
    handler,
    refresh: () => handler.refresh(),
    dispose: () => handler.dispose(),
  };
}

/** The handler of a stand-in's kind; `listed` gives the VMs that a platform list shows. */
export function createHandlers(
  ctx: types.IStandinContext,
  listed: () => readonly types.IListedVm[],
): IHandlerSet {
  return tsPattern
    .match(ctx.options.kind)
    .with('engine', () => createEngine(ctx))
    .with('stages', () => ({ ...EMPTY, handler: new stageHandler.StageHandler(ctx) }))
    .with('service', () => ({ ...EMPTY, handler: new serviceHandler.ServiceHandler(ctx) }))
    .with('platform', () => createPlatform(ctx, listed))
    .with('weights', () => ({
      ...EMPTY,
      handler: new weightStoreHandler.WeightStoreHandler(ctx),
    }))
    .exhaustive();
}
