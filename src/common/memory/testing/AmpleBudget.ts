import * as recordingMetrics from '../../testing/RecordingMetricsService.js';
import type * as commonTypes from '../../Types.js';
import * as byteBudget from '../ByteBudget.js';

const AMPLE_BYTES = 1_000_000_000;

/** Returns a budget that no test exhausts. */
export function ampleBudget(clock: commonTypes.IClock): byteBudget.ByteBudget {
  const limits = { softBytes: AMPLE_BYTES, hardBytes: AMPLE_BYTES };
  return new byteBudget.ByteBudget(limits, {
    clock,
    metrics: new recordingMetrics.RecordingMetricsService(),
  });
}
