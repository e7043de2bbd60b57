/** Compares the state of an engine with an order. */
import type * as stateTypes from '../state/Types.js';
import type * as types from './Types.js';

/**
 * Returns whether the state that the engine reports fulfils the order. An order without version or adapter accepts
 * any.
 *
 * @example
 * isSatisfied(order, { models: [], role: 'both' });
 */
export function isSatisfied(order: stateTypes.Order, state: types.IEngineState): boolean {
  if (order.action === 'set-role') {
    return state.role === order.role;
  }
  const loaded = state.models.find(({ model }) => model === order.model);
  if (order.action === 'unload') {
    return loaded === undefined;
  }
  const versionMatches = order.version === '' || loaded?.version === order.version;
  const adapterMatches = order.adapter === '' || loaded?.adapters.includes(order.adapter) === true;
  return loaded !== undefined && versionMatches && adapterMatches;
}
