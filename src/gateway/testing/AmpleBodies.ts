import * as ampleBudget from '../../common/memory/testing/AmpleBudget.js';
import type * as commonTypes from '../../common/Types.js';
import * as bodyMemory from '../BodyMemory.js';

/** Returns memory for bodies that no test exhausts. */
export function ampleBodies(clock: commonTypes.IClock): bodyMemory.IBodyMemory {
  return bodyMemory.createBodyMemory(ampleBudget.ampleBudget(clock), clock, undefined);
}
