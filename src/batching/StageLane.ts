import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as routing from '../routing/Types.js';
import * as batchChooser from './BatchChooser.js';
import * as queuedGroup from './QueuedGroup.js';
import * as stageDemand from './StageDemand.js';
import * as stagePace from './StagePace.js';
import * as stageReplica from './StageReplica.js';
import * as types from './Types.js';

/** A call that takes this many times its expected time is given up. */
const TIMEOUT_FACTOR = 3;
/** No call is given up sooner. */
const MIN_TIMEOUT_MS = 1200;
/** Items that arrive together share a call when they come within this time. */
const GATHER_MS = 3;
/** Share of a learnt value that a new observation makes up. */
const LEARN_SHARE = 0.06;
/** A request that misses its goal is refused once it waited for this share of its time. */
const PATIENCE_SHARE = 0.1;
/** Inputs whose life ends within this time are not sent for: the endpoint fetches them a moment later. */
const INPUT_MARGIN_MS = 60;
/** A stage with less waiting than this is calm; about three calls. */
const CALM_MS = 1000;
/** A call is not split over idle endpoints below this share of its fixed cost. */
const SPLIT_SHARE = 1;

/** What a lane works with. */
export interface ILaneNeeds {
  readonly clock: commonTypes.IClock;
  readonly caller: types.IStageCaller;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** One item of a call, with what its group says of it. */
interface ICalled {
  readonly waiting: types.IWaitingItem;
  readonly group: types.IItemGroup;
}

/** The waiting items and the endpoints of one stage service. */
export class StageLane implements commonTypes.IDisposable {
  private queue: queuedGroup.QueuedGroup[] = [];

  private readonly replicas = new Map<string, stageReplica.StageReplica>();

  private timer: commonTypes.IDisposable | undefined;

  private learntWait = 0;

  private readonly demand: stageDemand.StageDemand;

  private readonly paces: stagePace.StagePace;

  private limits: routing.IBatchLimits;

  /** Serves the service `name`. */
  constructor(
    private readonly name: string,
    limits: routing.IBatchLimits,
    private readonly needs: ILaneNeeds,
  ) {
    this.limits = limits;
    this.demand = new stageDemand.StageDemand(needs.clock);
    this.paces = new stagePace.StagePace(needs.clock, limits);
  }

  /** Counts a result that another planner had made; undefined when its maker is not in use. */
  adopt(record: types.IResultRecord, bytes: number): types.IHeldResult | undefined {
    const replica = this.replicas.get(record.maker);
    if (replica === undefined) {
      return undefined;
    }
    replica.adopt(bytes);
    return this.hold(replica, record.handle, bytes, record.life);
  }

  /** Learnt wait of items that meet their goal. */
  get usualWait(): commonTypes.Millis {
    return this.learntWait;
  }

  /** Items that wait. */
  get waiting(): number {
    return this.queue.reduce((sum, queued) => sum + queued.waiting, 0);
  }

  /** Usual time of a call. */
  get callTime(): commonTypes.Millis {
    const { callCost, itemCost, maxItemsPerCall: items } = this.limits;
    return callCost + (itemCost * items) / 2;
  }

  /** Notes that a request with rank `priority` will need `count` items, or no longer needs them if negative. */
  expect(priority: number, count: number): void {
    this.demand.add(priority, count);
  }

  /** Time until the items that go before a request of this rank are made. */
  delayFor(priority: number): commonTypes.Millis {
    return this.demand.delayFor(priority, this.pace());
  }

  /** Time until the items that wait here and go before one of rank `priority` have had their turn. */
  queueDelay(priority: number): commonTypes.Millis {
    const waiting = this.queue
      .filter((queued) => queued.group.priority <= priority)
      .reduce((sum, queued) => sum + queued.waiting, 0);
    return waiting === 0 ? 0 : waiting / this.pace();
  }

  /** Follows the endpoints of the service and its limits. */
  follow(endpoints: readonly routing.IEndpoint[], limits: routing.IBatchLimits): void {
    this.limits = limits;
    const present = new Set(endpoints.map((endpoint) => endpoint.id));
    [...this.replicas.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.replicas.delete(id));
    endpoints
      .filter((endpoint) => !this.replicas.has(endpoint.id))
      .forEach((endpoint) => {
        this.replicas.set(endpoint.id, new stageReplica.StageReplica(endpoint, limits));
      });
    this.wake(0);
  }

  /** Queues the items of a stage of one request. */
  add(group: types.IItemGroup): void {
    this.queue.push(new queuedGroup.QueuedGroup(group));
    this.wake(GATHER_MS);
  }

  /** Looks for a free endpoint soon, for example since room was given back. */
  wake(delay: commonTypes.Millis): void {
    if (this.timer === undefined && this.queue.length > 0) {
      this.timer = this.needs.clock.setTimer(delay, () => {
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
    queue.forEach((queued) => StageLane.failRest(queued, 'error'));
  }

  private static failRest(
    queued: queuedGroup.QueuedGroup,
    failure: types.ItemFailure | 'expired',
  ): void {
    queued.take(queued.waiting).forEach((waiting) => waiting.onFailed(failure));
  }

  /** Items that all endpoints make in a millisecond, as far as calls and room for results allow. */
  private pace(): number {
    const now = this.needs.clock.monotonic();
    const usable = [...this.replicas.values()].filter((replica) => replica.blockedFor(now) === 0);
    const slownesses = usable.map((replica) => replica.slowness);
    return this.paces.of(slownesses, this.limits);
  }

  private dispatch(): void {
    const now = this.needs.clock.monotonic();
    this.dropHopeless(now);
    while (this.queue.length > 0 && this.startOne(now));
    if (this.queue.length > 0 && this.timer === undefined) {
      const waits = [...this.replicas.values()]
        .map((replica) => replica.blockedFor(now))
        .filter((wait) => wait > 0);
      this.wake(Math.min(...waits, this.limits.callCost / 2));
    }
  }

  private dropHopeless(now: commonTypes.Millis): void {
    this.queue = this.queue.filter((queued) => !queued.group.isDropped() && queued.waiting > 0);
    const latest = now + INPUT_MARGIN_MS;
    const stale = this.queue.filter((queued) => queued.group.inputsExpire < latest);
    stale.forEach((queued) => StageLane.failRest(queued, 'gone'));
    const expired = this.queue.filter((queued) => StageLane.isHopeless(queued, now));
    expired.forEach((queued) => StageLane.failRest(queued, 'expired'));
    this.queue = this.queue.filter((queued) => queued.waiting > 0);
  }

  /** Whether a request can't be served in time, or waited so long that its caller does better elsewhere. */
  private static isHopeless(queued: queuedGroup.QueuedGroup, now: commonTypes.Millis): boolean {
    const { group, isStarted } = queued;
    const patience = (group.deadlineStart - group.queued) * PATIENCE_SHARE;
    const isTired = !isStarted && !group.holdsRoom && now - group.queued > patience;
    return now > group.deadlineStart || (isTired && now > group.goalStart);
  }

  /** Starts one call; false when no endpoint or no room is free. */
  private startOne(now: commonTypes.Millis): boolean {
    const all = [...this.replicas.values()];
    const free = all.filter((replica) => replica.isFree(now) && !replica.isAvoided(now));
    const ranked = this.rank(free, this.mostUrgent(now)?.group.nearZone);
    const limit = this.batchLimit(ranked.length);
    const everywhere = all.reduce((sum, replica) => sum + replica.roomLeft, 0);
    const total = all.reduce((sum, replica) => sum + replica.roomTotal, 0);
    const usable = all.filter((each) => !each.isAvoided(now));
    const zones = new Map<string, number>();
    usable.forEach(({ endpoint: { availabilityZone: zone } }) =>
      zones.set(zone, (zones.get(zone) ?? 0) + 1),
    );
    const isCalm = this.queueDelay(Number.POSITIVE_INFINITY) < CALM_MS;
    for (const replica of ranked) {
      const room = { here: replica.roomLeft, everywhere, total };
      const place = { zone: replica.endpoint.availabilityZone, zones, isCalm, now };
      const sorted = batchChooser.sortByUrgency(this.queue, place);
      const picks = batchChooser.chooseBatch(sorted, limit, room, place);
      if (picks.length > 0) {
        this.start(replica, picks, now);
        return true;
      }
    }
    return false;
  }

  private mostUrgent(now: commonTypes.Millis): queuedGroup.QueuedGroup | undefined {
    let least = Number.POSITIVE_INFINITY;
    return this.queue.reduce<queuedGroup.QueuedGroup | undefined>((best, queued) => {
      const urgency = batchChooser.urgencyOf(queued, now);
      const isFirst = urgency < least;
      least = Math.min(least, urgency);
      return isFirst ? queued : best;
    }, undefined);
  }

  /** Quick endpoints first, then those near the most urgent item's inputs, then those with room. */
  private rank(
    replicas: readonly stageReplica.StageReplica[],
    zone: string | undefined,
  ): readonly stageReplica.StageReplica[] {
    const isNear = (replica: stageReplica.StageReplica): number =>
      replica.endpoint.availabilityZone === zone ? 0 : 1;
    const pace = (replica: stageReplica.StageReplica): number => Math.round(replica.slowness * 2);
    return [...replicas].sort(
      (a, b) => pace(a) - pace(b) || isNear(a) - isNear(b) || b.roomLeft - a.roomLeft,
    );
  }

  /** Spreads few items over idle endpoints, as long as a call stays worth its fixed cost. */
  private batchLimit(idle: number): number {
    const { maxItemsPerCall: items, callCost, itemCost } = this.limits;
    const least = Math.ceil((SPLIT_SHARE * callCost) / Math.max(itemCost, 1));
    const even = Math.ceil(this.waiting / Math.max(1, idle));
    return Math.min(items, Math.max(least, even));
  }

  private start(
    replica: stageReplica.StageReplica,
    picks: readonly batchChooser.IPick[],
    now: commonTypes.Millis,
  ): void {
    const batch = picks.flatMap(({ group: queued, count }) => {
      const { group, isStarted } = queued;
      if (now <= group.goalStart && !isStarted) {
        this.learntWait += LEARN_SHARE * (now - group.queued - this.learntWait);
      }
      return queued.take(count).map((waiting) => ({ waiting, group }));
    });
    this.queue = this.queue.filter((queued) => queued.waiting > 0);
    const bytes = batch.reduce((sum, { group }) => sum + group.bytes, 0);
    this.paces.noteBytes(bytes / batch.length);
    replica.begin(now, batch.length, bytes);
    void this.call(replica, batch, now);
  }

  private async call(
    replica: stageReplica.StageReplica,
    batch: readonly ICalled[],
    started: commonTypes.Millis,
  ): Promise<void> {
    const { clock, caller, logService, metrics } = this.needs;
    const timeout = Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * replica.expectedTime(batch.length));
    const items = batch.map(({ waiting, group }) => ({
      ...waiting.item,
      timeLeft: group.deadline - started,
    }));
    const inputs = { service: this.name, endpoint: replica.endpoint.id, items: batch.length };
    try {
      const results = await caller.run(replica.endpoint, items, timeout);
      const now = clock.monotonic();
      replica.finish(batch.length, now - started);
      metrics.timing('stage_call', now - started, { service: this.name });
      batch.forEach((called, at) => this.settle(replica, called, results[at], started));
      const failed = results.filter((result) => 'failure' in result).length;
      this.paces.noteMade(batch.length - failed, this.queue.length > 0);
      const took = Math.round(now - started);
      const waited = Math.round(started - Math.min(...batch.map(({ group }) => group.queued)));
      logService.info('stage-call', { ...inputs, took, failed, waited, left: this.waiting });
    } catch (err) {
      const now = clock.monotonic();
      const reason = err instanceof types.StageCallError ? err.reason : 'failed';
      const { message } = err as Error;
      logService.warn('stage-call-failed', { ...inputs, reason, message });
      metrics.count('stage_call_failed', { service: this.name, reason });
      if (reason === 'full') {
        replica.refuse(now);
      } else {
        replica.fail(now);
      }
      batch.forEach(({ waiting, group }) => {
        replica.release(group.bytes);
        waiting.onFailed('error');
      });
    }
    this.wake(0);
  }

  private settle(
    replica: stageReplica.StageReplica,
    { waiting, group }: ICalled,
    result: types.ItemResult | undefined,
    started: commonTypes.Millis,
  ): void {
    const { clock, metrics } = this.needs;
    const now = clock.monotonic();
    if (result !== undefined && 'handle' in result) {
      const { resultRetention: resultLife } = this.limits;
      const held = this.hold(replica, result.handle, group.bytes, resultLife, () => {
        this.paces.noteHold(clock.monotonic() - started);
      });
      waiting.onMade(held);
      return;
    }
    const failure = result?.failure ?? 'error';
    replica.release(group.bytes);
    if (failure === 'room') {
      replica.pause(now);
    }
    metrics.count('stage_item_failed', { service: this.name, reason: failure });
    waiting.onFailed(failure);
  }

  /** A result whose room is given back by its owner, or at the end of its life. */
  private hold(
    replica: stageReplica.StageReplica,
    handle: string,
    bytes: number,
    life: commonTypes.Millis,
    onRelease: () => void = () => {},
  ): types.IHeldResult {
    const { clock } = this.needs;
    const held = replica.hold(handle, bytes, clock.monotonic() + life, onRelease);
    clock.setTimer(life, () => held.release());
    return held;
  }
}
