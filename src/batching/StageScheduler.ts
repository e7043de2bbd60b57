import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as routing from '../routing/Types.js';
import * as batchChooser from './BatchChooser.js';
import type * as endpointContention from './EndpointContention.js';
import * as queuedGroup from './QueuedGroup.js';
import * as replicaChoice from './ReplicaChoice.js';
import * as stageDemand from './StageDemand.js';
import * as stageReplica from './StageReplica.js';
import * as stageThroughput from './StageThroughput.js';
import * as types from './Types.js';

/** Timeout of a call, as a multiple of its expected time. */
const TIMEOUT_FACTOR = 3;
/** Lower bound of the timeout of a call. */
const MIN_TIMEOUT_MS = 1200;
/**
 * Delay between the arrival of a group and the dispatch, so that groups that arrive together share a call.
 */
const BATCHING_WINDOW_MS = 3;
/** Weight of a new observation in the average wait. */
const SMOOTHING_RATIO = 0.06;
/**
 * A group that misses its goal is dropped after it was queued for this ratio of the time that its deadline
 * allowed.
 */
const MAX_LATE_WAIT_RATIO = 0.1;
/**
 * Items whose inputs expire within this time are not sent: the endpoint fetches inputs a moment after the call
 * starts.
 */
const INPUT_EXPIRY_MARGIN_MS = 60;
/** The load of a stage counts as light while its queueing delay is below this; about three calls. */
const LIGHT_LOAD_DELAY_MS = 1000;
/**
 * Items are spread over idle endpoints only if the item cost of each call reaches this ratio of its fixed
 * cost.
 */
const MIN_SPLIT_WORK_RATIO = 1;

/** Pause of a brittle endpoint after a rejection, divided by the number of rejections in a second that it bears. */
const REJECTION_PAUSE_MS = 2000;

/** Dependencies of a scheduler. */
export interface IStageSchedulerDependencies {
  readonly clock: commonTypes.IClock;
  readonly caller: types.IStageCaller;
  readonly rateLimiter: rateLimits.IEndpointRateLimiter;
  /** Rejections in a second that endpoints bear; absent if none names a limit. */
  readonly rejectionLimits?: rateLimitTable.RateLimitTable;
  /** Contention for endpoints, of a VM that plans alone; absent if this planner plans for all. */
  readonly contention?: endpointContention.EndpointContention;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** One item of a call, and the group that it belongs to. */
interface ICallItem {
  readonly queuedItem: types.IQueuedItem;
  readonly group: types.IItemGroup;
}

/** Queues the items of one stage service and dispatches them in batches to its endpoints. */
export class StageScheduler implements commonTypes.IDisposable {
  private queue: queuedGroup.QueuedGroup[] = [];

  private readonly replicas = new Map<string, stageReplica.StageReplica>();

  private timer: commonTypes.IDisposable | undefined;

  private smoothedWait = 0;

  private readonly demand: stageDemand.StageDemand;

  private readonly throughput: stageThroughput.StageThroughput;

  private limits: routing.IBatchLimits;

  /** Whether all endpoints of the service are in zones out of service, so that nothing can be dispatched. */
  private isOutOfService = false;

  /** Starts without endpoints; `updateEndpoints` supplies them. */
  constructor(
    private readonly serviceName: string,
    limits: routing.IBatchLimits,
    private readonly dependencies: IStageSchedulerDependencies,
  ) {
    this.limits = limits;
    this.demand = new stageDemand.StageDemand(dependencies.clock);
    this.throughput = new stageThroughput.StageThroughput(dependencies.clock, limits);
  }

  /**
   * Accounts for a result that another planner's call produced; undefined when its endpoint is not in use.
   */
  adopt(record: types.IResultRecord, bytes: number): types.IHeldResult | undefined {
    const replica = this.replicas.get(record.maker);
    if (replica === undefined) {
      return undefined;
    }
    replica.reserve(bytes);
    return this.holdResult(replica, record.handle, bytes, record.life);
  }

  /** Average queueing time of groups that start in time for their goal, in milliseconds. */
  get averageWait(): commonTypes.Millis {
    return this.smoothedWait;
  }

  /** Number of queued items. */
  get queuedItems(): number {
    return this.queue.reduce((sum, queued) => sum + queued.remaining, 0);
  }

  /** Declared time of a call that is half full, in milliseconds. */
  get typicalCallTime(): commonTypes.Millis {
    const { callCost, itemCost, maxItemsPerCall } = this.limits;
    return callCost + (itemCost * maxItemsPerCall) / 2;
  }

  /** Adds `count` items to the outstanding demand of a priority; a negative count removes them. */
  addDemand(priority: number, count: number, resultBytes: number): void {
    this.demand.add(priority, count, resultBytes);
  }

  /**
   * Estimated time in milliseconds to complete the outstanding items, queued or not, that go before an item of this
   * priority with a result of `resultBytes`.
   */
  demandDelay(priority: number, resultBytes: number): commonTypes.Millis {
    const slowdowns = this.unblockedSlowdowns();
    const untilCall = this.dependencies.contention?.expectedDelayOf(this.serviceName) ?? 0;
    const delay = this.demand.delayFor(priority, resultBytes, {
      items: this.throughput.estimate(slowdowns, this.limits),
      smallItems: stageThroughput.callThroughput(slowdowns, this.limits),
    });
    return untilCall + delay;
  }

  /** Estimated time in milliseconds to start the queued items of this and more urgent priorities. */
  queueDelay(priority: number): commonTypes.Millis {
    const itemsAhead = this.queue
      .filter((queued) => queued.group.priority <= priority)
      .reduce((sum, queued) => sum + queued.remaining, 0);
    return itemsAhead === 0 ? 0 : itemsAhead / this.estimateThroughput();
  }

  /**
   * Ratio of the queueing time of this and more urgent priorities to a call, at most 1; near 0 if the stage completes
   * items as fast as they come.
   */
  backlogRatio(priority: number): number {
    const wait = Math.max(this.smoothedWait, this.queueDelay(priority));
    return Math.min(1, wait / Math.max(1, this.typicalCallTime));
  }

  /**
   * Applies a new list of the service's endpoints, and its limits. Queued items fail at once as expired if the list is
   * empty because the zones of all endpoints are out of service; calls in progress go on.
   */
  updateEndpoints(
    endpoints: readonly routing.IEndpoint[],
    limits: routing.IBatchLimits,
    isOutOfService = false,
  ): void {
    this.limits = limits;
    this.isOutOfService = isOutOfService;
    const currentIds = new Set(endpoints.map((endpoint) => endpoint.id));
    [...this.replicas.keys()]
      .filter((id) => !currentIds.has(id))
      .forEach((id) => this.replicas.delete(id));
    endpoints
      .filter((endpoint) => !this.replicas.has(endpoint.id))
      .forEach((endpoint) => {
        this.replicas.set(endpoint.id, new stageReplica.StageReplica(endpoint, limits));
      });
    this.scheduleDispatch(0);
  }

  /** Queues the items of a stage of one request. */
  add(group: types.IItemGroup): void {
    this.queue.push(new queuedGroup.QueuedGroup(group));
    this.scheduleDispatch(BATCHING_WINDOW_MS);
  }

  /**
   * Schedules a dispatch of queued items in `delay` milliseconds, for example after room was freed. Keeps a
   * dispatch that is already scheduled.
   */
  scheduleDispatch(delay: commonTypes.Millis): void {
    if (this.timer === undefined && this.queue.length > 0) {
      this.timer = this.dependencies.clock.setTimer(delay, () => {
        this.timer = undefined;
        this.dispatch();
      });
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer?.dispose();
    const { queue } = this;
    this.queue = [];
    queue.forEach((queued) => StageScheduler.failRemaining(queued, 'error'));
  }

  private static failRemaining(
    queued: queuedGroup.QueuedGroup,
    failure: types.ItemFailure | 'expired',
  ): void {
    queued.take(queued.remaining).forEach((item) => item.onFailure(failure));
  }

  /** Estimated throughput of all unblocked endpoints, in items per millisecond. */
  private estimateThroughput(): number {
    return this.throughput.estimate(this.unblockedSlowdowns(), this.limits);
  }

  /** Slowdown of each unblocked endpoint. */
  private unblockedSlowdowns(): readonly number[] {
    const now = this.dependencies.clock.monotonic();
    const unblocked = [...this.replicas.values()].filter(
      (replica) => replica.remainingBlock(now) === 0,
    );
    const { rateLimiter } = this.dependencies;
    return unblocked.map((replica) =>
      replicaChoice.effectiveSlowdown(replica, this.limits, rateLimiter),
    );
  }

  /**
   * Starts as many calls as possible. If items remain, dispatches again at the end of the first backoff or
   * pause, or after half the fixed cost of a call if that is sooner.
   */
  private dispatch(): void {
    const { clock, rateLimiter } = this.dependencies;
    const now = clock.monotonic();
    this.pruneQueue(now);
    while (this.queue.length > 0 && this.startNextCall(now));
    if (this.queue.length > 0 && this.timer === undefined) {
      const blocks = [...this.replicas.values()]
        .map((replica) => replicaChoice.timeUntilCallable(replica, rateLimiter, now))
        .filter((block) => block > 0);
      this.scheduleDispatch(Math.min(...blocks, this.limits.callCost / 2));
    }
  }

  /**
   * Drops groups of ended requests, and fails groups whose inputs expire or that cannot be served in time.
   */
  private pruneQueue(now: commonTypes.Millis): void {
    this.queue = this.queue.filter((queued) => !queued.group.isCancelled() && queued.remaining > 0);
    const minExpiry = now + INPUT_EXPIRY_MARGIN_MS;
    const withExpiredInputs = this.queue.filter(
      (queued) => queued.group.inputsExpireAt < minExpiry,
    );
    withExpiredInputs.forEach((queued) => StageScheduler.failRemaining(queued, 'gone'));
    const expired = this.queue.filter(
      (queued) => this.isOutOfService || StageScheduler.isExpired(queued, now),
    );
    expired.forEach((queued) => StageScheduler.failRemaining(queued, 'expired'));
    this.queue = this.queue.filter((queued) => queued.remaining > 0);
  }

  /**
   * Whether a group cannot meet its deadline, or misses its goal after a wait so long that its caller does
   * better to retry elsewhere.
   */
  private static isExpired(queued: queuedGroup.QueuedGroup, now: commonTypes.Millis): boolean {
    const { group, isStarted } = queued;
    const maxLateWait = (group.latestStartForDeadline - group.queuedAt) * MAX_LATE_WAIT_RATIO;
    const isOverdue = !isStarted && !group.freesRoom && now - group.queuedAt > maxLateWait;
    return now > group.latestStartForDeadline || (isOverdue && now > group.latestStartForGoal);
  }

  /** Starts one call; false when no endpoint can take items now. */
  private startNextCall(now: commonTypes.Millis): boolean {
    const all = [...this.replicas.values()];
    const usable = replicaChoice.usableReplicas(all, now);
    const { rateLimiter } = this.dependencies;
    const withinLimit = usable.filter(({ endpoint }) => rateLimiter.delayOf(endpoint.id) === 0);
    const available = withinLimit.filter((replica) => replica.canStartCall(now));
    const preferredZone = this.mostUrgentGroup(now)?.group.preferredZone;
    const { contention } = this.dependencies;
    const ranked = replicaChoice.rankReplicas(available, preferredZone, (id) =>
      contention === undefined ? 0 : contention.weightOf(id),
    );
    const evenItems = this.maxItemsPerCall(ranked.length);
    const totalFree = all.reduce((sum, replica) => sum + replica.freeBytes, 0);
    const totalUsable = all.reduce((sum, replica) => sum + replica.usableBytes, 0);
    const endpointsByZone = new Map<string, number>();
    withinLimit.forEach(({ endpoint: { availabilityZone: zone } }) =>
      endpointsByZone.set(zone, (endpointsByZone.get(zone) ?? 0) + 1),
    );
    const isLightlyLoaded = this.queueDelay(Number.POSITIVE_INFINITY) < LIGHT_LOAD_DELAY_MS;
    for (const replica of ranked) {
      const room = { endpointFree: replica.freeBytes, totalFree, totalUsable };
      const site = {
        zone: replica.endpoint.availabilityZone,
        endpointsByZone,
        isLightlyLoaded,
        now,
      };
      const isLimited = rateLimiter.rateOf(replica.endpoint.id) !== undefined;
      const maxItems = isLimited ? this.limits.maxItemsPerCall : evenItems;
      const sorted = batchChooser.sortByUrgency(this.queue, site);
      const picks = batchChooser.chooseBatch(sorted, maxItems, room, site);
      if (picks.length > 0) {
        this.startCall(replica, picks, now);
        return true;
      }
    }
    return false;
  }

  private mostUrgentGroup(now: commonTypes.Millis): queuedGroup.QueuedGroup | undefined {
    let lowestKey = Number.POSITIVE_INFINITY;
    return this.queue.reduce<queuedGroup.QueuedGroup | undefined>((mostUrgent, queued) => {
      const key = batchChooser.urgencyKey(queued, now);
      const isMoreUrgent = key < lowestKey;
      lowestKey = Math.min(lowestKey, key);
      return isMoreUrgent ? queued : mostUrgent;
    }, undefined);
  }

  /**
   * Limits the size of a call so that a short queue is spread over idle endpoints, but not below the size that
   * justifies the fixed cost of a call.
   */
  private maxItemsPerCall(idleEndpoints: number): number {
    const { maxItemsPerCall, callCost, itemCost } = this.limits;
    const minItems = Math.ceil((MIN_SPLIT_WORK_RATIO * callCost) / Math.max(itemCost, 1));
    const evenSplit = Math.ceil(this.queuedItems / Math.max(1, idleEndpoints));
    return Math.min(maxItemsPerCall, Math.max(minItems, evenSplit));
  }

  private startCall(
    replica: stageReplica.StageReplica,
    picks: readonly batchChooser.IPick[],
    now: commonTypes.Millis,
  ): void {
    const batch = picks.flatMap(({ group: queued, count }) => {
      const { group, isStarted } = queued;
      if (now <= group.latestStartForGoal && !isStarted) {
        this.smoothedWait += SMOOTHING_RATIO * (now - group.queuedAt - this.smoothedWait);
      }
      return queued.take(count).map((queuedItem) => ({ queuedItem, group }));
    });
    this.queue = this.queue.filter((queued) => queued.remaining > 0);
    const batchBytes = batch.reduce((sum, { group }) => sum + group.resultBytes, 0);
    this.throughput.recordResultBytes(batchBytes / batch.length);
    this.dependencies.rateLimiter.take(replica.endpoint.id);
    replica.recordCallStart(now, batch.length, batchBytes);
    void this.runCall(replica, batch, now);
  }

  private async runCall(
    replica: stageReplica.StageReplica,
    batch: readonly ICallItem[],
    startedAt: commonTypes.Millis,
  ): Promise<void> {
    const { clock, caller, logService, metrics } = this.dependencies;
    const timeout = Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * replica.expectedTime(batch.length));
    const items = batch.map(({ queuedItem, group }) => ({
      ...queuedItem.item,
      timeLeft: group.deadline - startedAt,
    }));
    const fields = {
      service: this.serviceName,
      endpoint: replica.endpoint.id,
      items: batch.length,
    };
    try {
      const results = await caller.run(replica.endpoint, items, timeout);
      const now = clock.monotonic();
      replica.recordCallEnd(batch.length, now - startedAt);
      this.dependencies.contention?.recordCall(replica.endpoint.id, false);
      metrics.timing('stage_call', now - startedAt, { service: this.serviceName });
      batch.forEach((callItem, at) => this.settleItem(replica, callItem, results[at], startedAt));
      const failed = results.filter((result) => 'failure' in result).length;
      this.throughput.recordCompletions(batch.length - failed, this.queue.length > 0);
      const took = Math.round(now - startedAt);
      const waited = Math.round(startedAt - Math.min(...batch.map(({ group }) => group.queuedAt)));
      logService.info('stage-call', { ...fields, took, failed, waited, left: this.queuedItems });
    } catch (err) {
      const now = clock.monotonic();
      const reason = err instanceof types.StageCallError ? err.reason : 'failed';
      const { message } = err as Error;
      logService.warn('stage-call-failed', { ...fields, reason, message });
      metrics.count('stage_call_failed', { service: this.serviceName, reason });
      if (reason === 'full') {
        this.dependencies.contention?.recordCall(replica.endpoint.id, true);
        const borne = this.dependencies.rejectionLimits?.limitOf(replica.endpoint.id);
        const isBrittle = borne !== undefined;
        replica.recordCallRefusal(now, isBrittle ? REJECTION_PAUSE_MS / Math.max(1, borne) : 0);
      } else {
        replica.recordCallFailure(now);
      }
      batch.forEach(({ queuedItem, group }) => {
        replica.release(group.resultBytes);
        queuedItem.onFailure('error');
      });
    }
    this.scheduleDispatch(0);
  }

  private settleItem(
    replica: stageReplica.StageReplica,
    { queuedItem, group }: ICallItem,
    result: types.ItemOutcome | undefined,
    startedAt: commonTypes.Millis,
  ): void {
    const { clock, metrics } = this.dependencies;
    const now = clock.monotonic();
    if (result !== undefined && 'handle' in result) {
      const { resultRetention } = this.limits;
      const held = this.holdResult(
        replica,
        result.handle,
        group.resultBytes,
        resultRetention,
        () => {
          this.throughput.recordHoldTime(clock.monotonic() - startedAt);
        },
      );
      queuedItem.onResult(held);
      return;
    }
    const failure = result?.failure ?? 'error';
    replica.release(group.resultBytes);
    if (failure === 'room') {
      replica.pauseAfterFull(now);
    }
    metrics.count('stage_item_failed', { service: this.serviceName, reason: failure });
    queuedItem.onFailure(failure);
  }

  /** Creates a result whose room is released by its owner, or at its expiry after `life` milliseconds. */
  private holdResult(
    replica: stageReplica.StageReplica,
    handle: string,
    bytes: number,
    life: commonTypes.Millis,
    onRelease: () => void = () => {},
  ): types.IHeldResult {
    const { clock } = this.dependencies;
    const held = replica.createHeldResult(handle, bytes, clock.monotonic() + life, onRelease);
    clock.setTimer(life, () => held.release());
    return held;
  }
}
