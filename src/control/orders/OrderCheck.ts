/** Whether an engine is as an order wants it. */
import type * as stateTypes from '../state/Types.js';
import type * as types from './Types.js';

/**
 * Compares an engine's own state with an order.
 *
 * @example
 * isSatisfied(order, { models: [], role: 'both' });
 */
export function isSatisfied(order: stateTypes.Order, state: types.IEngineState): boolean {
  if (order.action === 'set-role') {
    return state.role === order.role;
  }
  const held = state.models.find(({ model }) => model === order.model);
  if (order.action === 'unload') {
    return held === undefined;
  }
  const version = order.version === '' || held?.version === order.version;
  const adapter = order.adapter === '' || held?.adapters.includes(order.adapter) === true;
  return held !== undefined && version && adapter;
}
