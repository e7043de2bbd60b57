/** Contracts of the orders to engines. */
import type * as commonTypes from '../../common/Types.js';
import type * as stateTypes from '../state/Types.js';

/** A model that an engine holds. */
export interface IEngineModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** What an engine tells of itself. */
export interface IEngineState {
  readonly models: readonly IEngineModel[];
  readonly role: string;
}

/** How an engine took an order. */
export type OrderOutcome =
  | { readonly kind: 'taken' }
  /** The engine saw a higher fencing number. */
  | { readonly kind: 'old-fence'; readonly fence: number }
  /** The engine or the weight store asks to come back later. */
  | { readonly kind: 'later'; readonly retryAfter: commonTypes.Millis }
  /** The engine refuses this order whenever it comes. */
  | { readonly kind: 'refused'; readonly message: string };

/** Speaks to engines; one adapter for each kind. Rejects when the answer is lost. */
export interface IEngineClient {
  /** Gives an order under its fencing number. */
  send(order: stateTypes.Order, signal: AbortSignal): Promise<OrderOutcome>;
  /** Reads what the engine holds. */
  readState(order: stateTypes.Order, signal: AbortSignal): Promise<IEngineState>;
}

/** Times and rates of orders. */
export interface IOrderOptions {
  /** Time from the claim of an order within which its first byte must leave. */
  readonly claimLeaseMs: commonTypes.Millis;
  /** Longest flight of an order, after which it is cut off. */
  readonly requestTimeoutMs: commonTypes.Millis;
  readonly retryDelayMs: commonTypes.Millis;
  /** Attempts before an order counts as failed. */
  readonly maxAttempts: number;
  /** Loads that the weight store bears, over all engines. */
  readonly loadsPerMinute: number;
}

/** The one table of defaults. */
export const DEFAULT_ORDER_OPTIONS: IOrderOptions = {
  claimLeaseMs: 2000,
  requestTimeoutMs: 10_000,
  retryDelayMs: 1000,
  maxAttempts: 60,
  loadsPerMinute: 30,
};
