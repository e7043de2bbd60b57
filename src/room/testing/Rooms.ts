import type * as commonTypes from '../../common/Types.js';
import * as seededRandom from '../../common/SeededRandom.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import * as rateLimitTable from '../../ratelimit/RateLimitTable.js';
import * as unlimitedRateLimiter from '../../ratelimit/testing/UnlimitedRateLimiter.js';
import type * as rateLimits from '../../ratelimit/Types.js';
import type * as endpointDirectory from '../../routing/EndpointDirectory.js';
import * as endpointRooms from '../EndpointRooms.js';
import * as roomKeeper from '../RoomKeeper.js';
import * as fakeRoomLink from './FakeRoomLink.js';

const logService = new recordingLog.RecordingLogService();
const metrics = new recordingMetrics.RecordingMetricsService();

/** Creates a table of rejection limits. */
export function makeLimits(clock: commonTypes.IClock): rateLimitTable.RateLimitTable {
  return new rateLimitTable.RateLimitTable({ clock, logService, metrics, kind: 'rejection-limit' });
}

/** Records that endpoints name a rejection limit, or none any longer. */
export function nameLimit(
  table: rateLimitTable.RateLimitTable,
  clock: commonTypes.IClock,
  limit: number | 'none',
  ...endpointIds: readonly string[]
): void {
  const sentAt = clock.monotonic();
  endpointIds.forEach((endpointId) =>
    table.recordStatement({ endpointId, limit, origin: 'answer', sentAt }),
  );
}

/** Room of an entry VM with the link and the limits that a test controls. */
export interface ITestRooms {
  readonly rooms: endpointRooms.EndpointRooms;
  readonly link: fakeRoomLink.FakeRoomLink;
  readonly limits: rateLimitTable.RateLimitTable;
}

/** Creates the room of an entry VM; `local` limits its requests without a coordinator. */
export function makeRooms(
  clock: commonTypes.IClock,
  directory: endpointDirectory.EndpointDirectory,
  local: rateLimits.IEndpointRateLimiter = new unlimitedRateLimiter.UnlimitedRateLimiter(),
): ITestRooms {
  const link = new fakeRoomLink.FakeRoomLink();
  const limits = makeLimits(clock);
  const rooms = new endpointRooms.EndpointRooms({
    clock,
    random: new seededRandom.SeededRandom(3),
    directory,
    limits,
    local,
    link,
    metrics,
    availabilityZone: 'a',
  });
  return { rooms, link, limits };
}

/** Creates the keeper of a coordinator. */
export function makeKeeper(
  clock: commonTypes.IClock,
  directory: endpointDirectory.EndpointDirectory,
  limits: rateLimitTable.RateLimitTable,
): roomKeeper.RoomKeeper {
  return new roomKeeper.RoomKeeper({ clock, directory, limits, logService, metrics });
}
