import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import type * as commonTypes from '../../common/Types.js';
import * as rateLimitTable from '../../ratelimit/RateLimitTable.js';

/** Makes an empty table whose log and metrics are not kept. */
export function makeTable(clock: commonTypes.IClock): rateLimitTable.RateLimitTable {
  const logService = new recordingLog.RecordingLogService();
  const metrics = new recordingMetrics.RecordingMetricsService();
  return new rateLimitTable.RateLimitTable({ clock, logService, metrics });
}
