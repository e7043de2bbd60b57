/**
 * Selects the queued items of the next call. The order is meant for bursts in which a stage has more items
 * than its endpoints can process in time, and little room for results: requests that already hold room come
 * first, then requests that can still meet their goal, by priority and by the latest start that meets it.
 * Requests that miss their goal use the remaining capacity. A request starts only if all of its results fit,
 * unless it is too large ever to fit beside others.
 */
import type * as commonTypes from '../common/Types.js';
import type * as queuedGroup from './QueuedGroup.js';
import * as stageDemand from './StageDemand.js';
import type * as types from './Types.js';

/**
 * Penalty per priority level: more urgent requests go first, but do not starve an old request of a lower
 * priority.
 */
const PRIORITY_PENALTY_MS = 5000;
/** Penalty that sorts every request that misses its goal after all requests that can meet it. */
const MISSED_GOAL_PENALTY_MS = 1_000_000;
/**
 * Bonus that sorts started groups and groups whose inputs hold room before others that likewise meet or miss
 * their goal.
 */
const FREES_ROOM_BONUS_MS = 500_000;
/**
 * A group does not start while its results would queue longer than this for the next stages, unless it frees
 * room; about three calls.
 */
const MAX_DOWNSTREAM_DELAY_MS = 1000;
/** A group with at least this many bytes to transfer runs in its preferred zone if time permits. */
const LARGE_MOVE_BYTES = 100_000;
/**
 * Penalty for such a group in another zone; about one call, so that the next call in the preferred zone takes
 * it.
 */
const REMOTE_ZONE_PENALTY_MS = 400;
/**
 * A group whose inputs hold room waits at most this long for an endpoint in its preferred zone; about one
 * call.
 */
const MAX_ZONE_WAIT_WITH_INPUTS_MS = 400;
/**
 * A group waits for an endpoint in its preferred zone only while a start later than this still meets its goal.
 */
const MIN_ZONE_WAIT_SLACK_MS = 400;
/**
 * Groups do not wait for a zone with fewer endpoints: a single endpoint may be busy while those of other zones
 * are idle.
 */
const MIN_ZONE_ENDPOINTS = 2;
/**
 * A group that needs more than this ratio of all room starts without the check for total free room; it would
 * never start otherwise.
 */
const LARGE_GROUP_ROOM_RATIO = 0.7;

/** Number of items of a group selected for the call. */
export interface IPick {
  readonly group: queuedGroup.QueuedGroup;
  readonly count: number;
}

/**
 * Room for results in bytes: free on the endpoint of the call, free on all endpoints, and on all endpoints
 * when empty.
 */
export interface IResultRoom {
  readonly endpointFree: number;
  readonly totalFree: number;
  readonly totalUsable: number;
}

/** Zone, time and load of the stage for a candidate call. */
export interface ICallSite {
  /** Availability zone of the endpoint of the call. */
  readonly zone: string;
  /** Number of endpoints in use, by availability zone. */
  readonly endpointsByZone: ReadonlyMap<string, number>;
  /**
   * Whether the load of the stage is low enough to leave an endpoint idle in favour of a better placed one.
   */
  readonly isLightlyLoaded: boolean;
  readonly now: commonTypes.Millis;
}

/** Whether a group must not start with this call, to wait for its preferred zone or for the next stage. */
function isDeferred(queued: queuedGroup.QueuedGroup, site: ICallSite): boolean {
  const { group, isStarted } = queued;
  if (isStarted) {
    return false;
  }
  const canWait =
    site.isLightlyLoaded && group.latestStartForGoal - site.now > MIN_ZONE_WAIT_SLACK_MS;
  const canKeepInputs =
    !group.freesRoom || site.now - group.queuedAt < MAX_ZONE_WAIT_WITH_INPUTS_MS;
  const zoneEndpoints = site.endpointsByZone.get(group.preferredZone ?? '') ?? 0;
  const waitsForZone =
    canWait &&
    canKeepInputs &&
    zoneEndpoints >= MIN_ZONE_ENDPOINTS &&
    isLargeCrossZoneTransfer(group, site);
  return waitsForZone || (!group.freesRoom && group.downstreamDelay() > MAX_DOWNSTREAM_DELAY_MS);
}

/**
 * Whether the call would transfer many bytes between zones that a call in the group's preferred zone avoids.
 */
function isLargeCrossZoneTransfer(
  { preferredZone, crossZoneBytes }: types.IItemGroup,
  site: ICallSite,
): boolean {
  const isRemote = preferredZone !== undefined && preferredZone !== site.zone;
  return isRemote && crossZoneBytes >= LARGE_MOVE_BYTES && site.endpointsByZone.has(preferredZone);
}

/** Sort key of a group, in milliseconds; lower keys go first. */
export function urgencyKey(queued: queuedGroup.QueuedGroup, now: commonTypes.Millis): number {
  const { group } = queued;
  const priority = group.priority * PRIORITY_PENALTY_MS;
  const bonus = queued.isStarted || group.freesRoom ? -FREES_ROOM_BONUS_MS : 0;
  const penalty = now > group.latestStartForGoal ? MISSED_GOAL_PENALTY_MS : 0;
  return (penalty > 0 ? group.queuedAt : group.latestStartForGoal) + priority + penalty + bonus;
}

/** Sorts groups by urgency for a call at `site`; groups that prefer another zone come later. */
export function sortByUrgency(
  groups: readonly queuedGroup.QueuedGroup[],
  site: ICallSite,
): readonly queuedGroup.QueuedGroup[] {
  return groups
    .map((group) => {
      const zonePenalty = isLargeCrossZoneTransfer(group.group, site) ? REMOTE_ZONE_PENALTY_MS : 0;
      return { group, urgency: urgencyKey(group, site.now) + zonePenalty };
    })
    .sort((a, b) => a.urgency - b.urgency)
    .map(({ group }) => group);
}

/**
 * Selects up to `maxItems` items from groups sorted by urgency, as far as the room for their results allows.
 *
 * @example
 * const picks = chooseBatch(sortByUrgency(groups, site), 7, room, site);
 */
export function chooseBatch(
  sorted: readonly queuedGroup.QueuedGroup[],
  maxItems: number,
  room: IResultRoom,
  site: ICallSite,
): readonly IPick[] {
  const picks: IPick[] = [];
  let { endpointFree } = room;
  let unreservedFree = room.totalFree - reservedBytes(sorted);
  let itemsLeft = maxItems;
  let maxOvertakingBytes = Number.POSITIVE_INFINITY;
  const candidates = sorted.filter((queued) => !isDeferred(queued, site));
  for (const queued of candidates) {
    const { resultBytes } = queued.group;
    const neededBytes = resultBytes * queued.remaining;
    const fits =
      queued.isStarted ||
      neededBytes <= unreservedFree ||
      neededBytes > room.totalUsable * LARGE_GROUP_ROOM_RATIO;
    const count = Math.min(
      itemsLeft,
      queued.remaining,
      Math.floor(endpointFree / Math.max(resultBytes, 1)),
    );
    if (fits && resultBytes <= maxOvertakingBytes && count > 0) {
      picks.push({ group: queued, count });
      endpointFree -= resultBytes * count;
      itemsLeft -= count;
      unreservedFree -= queued.isStarted ? 0 : neededBytes;
    } else {
      maxOvertakingBytes = Math.min(
        maxOvertakingBytes,
        resultBytes * stageDemand.OVERTAKING_SIZE_RATIO,
      );
    }
    if (itemsLeft === 0) {
      break;
    }
  }
  return picks;
}

/** Room that the remaining items of started groups will need, in bytes. */
function reservedBytes(groups: readonly queuedGroup.QueuedGroup[]): number {
  return groups
    .filter((queued) => queued.isStarted)
    .reduce((sum, queued) => sum + queued.group.resultBytes * queued.remaining, 0);
}
