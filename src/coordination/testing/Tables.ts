import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import type * as commonTypes from '../../common/Types.js';
import * as coldEndpoints from '../../ratelimit/ColdEndpoints.js';
import * as rateLimitTable from '../../ratelimit/RateLimitTable.js';
import * as endpointDirectory from '../../routing/EndpointDirectory.js';
import type * as routing from '../../routing/Types.js';

/** What the service of the endpoint bears while it is cold. */
export const WARM_UP: routing.IWarmUp = { duration: 3000, rate: 11 };

/** Makes the cold endpoints of one VM, which knows the endpoint with an id from a list before traffic. */
export function makeCold(
  clock: commonTypes.IClock,
  endpointId: string,
): coldEndpoints.ColdEndpoints {
  const logService = new recordingLog.RecordingLogService();
  const metrics = new recordingMetrics.RecordingMetricsService();
  const cold = new coldEndpoints.ColdEndpoints({ clock, logService, metrics });
  const directory = new endpointDirectory.EndpointDirectory();
  cold.follow(directory);
  cold.configure(new Map([['s', { name: 's', maxConnections: 4, warmUp: WARM_UP }]]));
  const endpoint: routing.IEndpoint = {
    id: endpointId,
    service: 's',
    address: '127.0.0.1:1',
    availabilityZone: 'a',
    slots: 4,
    draining: false,
  };
  directory.replace({ revision: 1, endpoints: [endpoint] });
  return cold;
}

/** Makes an empty table whose log and metrics are not kept. */
export function makeTable(clock: commonTypes.IClock): rateLimitTable.RateLimitTable {
  const logService = new recordingLog.RecordingLogService();
  const metrics = new recordingMetrics.RecordingMetricsService();
  return new rateLimitTable.RateLimitTable({ clock, logService, metrics });
}
