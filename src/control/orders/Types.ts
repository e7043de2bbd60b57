/** Interfaces and options of the orders to engines. */
import type * as commonTypes from '../../common/Types.js';
import type * as stateTypes from '../state/Types.js';

/** A model loaded on an engine. */
export interface IEngineModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** State that an engine reports. */
export interface IEngineState {
  readonly models: readonly IEngineModel[];
  readonly role: string;
}

/** Response of an engine to an order. */
export type OrderOutcome =
  | { readonly kind: 'taken' }
  /** The engine has seen the higher fencing number `fence`. */
  | { readonly kind: 'old-fence'; readonly fence: number }
  /** The engine or the weight store is busy; retry after `retryAfter` milliseconds. */
  | { readonly kind: 'later'; readonly retryAfter: commonTypes.Millis }
  /** The engine rejects the order permanently. */
  | { readonly kind: 'refused'; readonly message: string };

/** Sends orders to engines; one implementation per protocol. Methods reject when the response is lost. */
export interface IEngineClient {
  /** Sends an order with its fencing number. */
  send(order: stateTypes.Order, signal: AbortSignal): Promise<OrderOutcome>;
  /** Reads the engine's role and loaded models. */
  readState(order: stateTypes.Order, signal: AbortSignal): Promise<IEngineState>;
}

/** Time limits, retries and rates of orders. */
export interface IOrderOptions {
  /** Time after the claim of an order within which its request must be sent. */
  readonly claimLeaseMs: commonTypes.Millis;
  /** Time after which a request to an engine is aborted. */
  readonly requestTimeoutMs: commonTypes.Millis;
  /** Delay between two attempts. */
  readonly retryDelayMs: commonTypes.Millis;
  /** Attempts after which an order fails. */
  readonly maxAttempts: number;
  /** Weight loads per minute that the weight store can serve, over all engines. */
  readonly loadsPerMinute: number;
}

/** Default options of orders. */
export const DEFAULT_ORDER_OPTIONS: IOrderOptions = {
  claimLeaseMs: 2000,
  requestTimeoutMs: 10_000,
  retryDelayMs: 1000,
  maxAttempts: 60,
  loadsPerMinute: 30,
};
