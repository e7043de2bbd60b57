import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/**
 * Time after the start of a coordinator in which it grants no room: requests that its predecessor let through may still
 * run, and their VMs may not have connected yet.
 */
const START_DELAY_MS = 500;
/** Room of a VM that has disconnected is kept this long; its requests run on, and it may connect again. */
const ORPHAN_LIFETIME_MS = 1000;
/** Longest time for which adopted room counts. */
const MAX_ADOPTED_USE_MS = 10_000;
/** Room of a request that was cancelled is kept this long: its endpoint may not have noticed yet. */
const CANCELLED_LIFETIME_MS = 100;
/** Pause of an endpoint after a lost request; doubles with each further one in a row. */
const INITIAL_PAUSE_MS = 500;
/** Maximum of that pause. */
const MAX_PAUSE_MS = 2000;
/** Pause of an endpoint after a rejection, divided by the number of rejections in a second that it bears. */
const REJECTION_PAUSE_MS = 2000;
/** Weight of a new sample in the average duration of requests. */
const DURATION_SAMPLE_WEIGHT = 0.1;
/** Assumed duration of requests before the first one has ended. */
const INITIAL_DURATION_MS = 100;
/** Lower bound of the delay in a refusal. */
const MIN_DELAY_MS = 50;
/** Requests are admitted to the queue up to this part of their longest wait, so that few of them wait in vain. */
const ADMISSION_RATIO = 0.8;
/** Maximum number of requests that wait for room at a service. */
const MAX_WAITING = 1000;

interface IUse {
  readonly owner: string;
  readonly endpointId: string;
  readonly service: string;
  readonly startedAt: commonTypes.Millis;
  /** Frees the room if its end is not reported. */
  timer: commonTypes.IDisposable;
  isOrphaned: boolean;
}

interface IWaiting {
  readonly owner: string;
  readonly request: types.IRoomRequest;
  readonly timer: commonTypes.IDisposable;
  readonly answer: (answer: types.RoomAnswer) => void;
}

interface IGrantTimer {
  readonly subscription: commonTypes.IDisposable;
  readonly dueAt: commonTypes.Millis;
}

interface IPause {
  readonly until: commonTypes.Millis;
  readonly losses: number;
}

/** Components that a room keeper uses. */
export interface IRoomKeeperDependencies {
  readonly clock: commonTypes.IClock;
  readonly directory: endpointDirectory.EndpointDirectory;
  /** Rejections in a second that endpoints bear. */
  readonly limits: rateLimitTable.RateLimitTable;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * Grants room at brittle endpoints to the requests of all VMs: no endpoint gets more requests than it runs at the same
 * time. Requests wait for room while it will be free in time, the most urgent first, and are refused at once otherwise.
 */
export class RoomKeeper implements types.IRoomCheck, commonTypes.IDisposable {
  private readonly uses = new Map<string, IUse>();

  /** Number of uses by endpoint. */
  private readonly useCounts = new Map<string, number>();

  private readonly waiting = new Map<string, IWaiting[]>();

  private readonly pauses = new Map<string, IPause>();

  private readonly durations = new Map<string, commonTypes.Millis>();

  private grantsFrom: commonTypes.Millis;

  private timer: IGrantTimer | undefined;

  /** Starts without any room in use. */
  constructor(private readonly deps: IRoomKeeperDependencies) {
    this.grantsFrom = deps.clock.monotonic();
  }

  /** Forgets what an earlier time as the coordinator left; called when this VM becomes the coordinator. */
  reset(): void {
    const { clock } = this.deps;
    this.uses.forEach(({ timer }) => timer.dispose());
    this.uses.clear();
    this.useCounts.clear();
    this.pauses.clear();
    this.refuseAll();
    this.grantsFrom = clock.monotonic() + START_DELAY_MS;
    this.scheduleGrants(START_DELAY_MS);
  }

  /** @inheritdoc */
  isBounded({ service }: routing.IEndpoint): boolean {
    return this.deps.directory
      .ready(service)
      .some(({ id }) => this.deps.limits.limitOf(id) !== undefined);
  }

  /** @inheritdoc */
  hasRoom(endpoint: routing.IEndpoint, placed: number): boolean {
    return !this.isBounded(endpoint) || placed + this.usedAt(endpoint.id) < endpoint.slots;
  }

  /** Number of requests that hold room at an endpoint. */
  usedAt(endpointId: string): number {
    return this.useCounts.get(endpointId) ?? 0;
  }

  /** Requests room for a VM; `answer` is called once. */
  request(
    owner: string,
    request: types.IRoomRequest,
    answer: (answer: types.RoomAnswer) => void,
  ): void {
    const { clock, metrics } = this.deps;
    const { service, maxWait } = request;
    const queue = this.waiting.get(service) ?? [];
    const endpoint = queue.length === 0 ? this.choose(request) : undefined;
    if (endpoint !== undefined) {
      this.grant(owner, request, endpoint, answer);
      return;
    }
    const delay = this.expectedDelay(request, queue);
    if (delay > maxWait * ADMISSION_RATIO || queue.length >= MAX_WAITING) {
      metrics.count('rooms', { outcome: 'refused' });
      answer({ roomId: request.roomId, delay: Math.max(MIN_DELAY_MS, delay) });
      return;
    }
    const timer = clock.setTimer(maxWait, () => this.refuse(service, request.roomId));
    const waiting = { owner, request, timer, answer };
    this.waiting.set(
      service,
      [...queue, waiting].sort((a, b) => a.request.priority - b.request.priority),
    );
    this.scheduleGrants(this.timeUntilChange(service));
  }

  /** Records that a VM has given room back; unknown ids are ignored. */
  release(roomId: string, outcome: types.RoomOutcome): void {
    const use = this.uses.get(roomId);
    if (use === undefined) {
      this.withdraw(roomId);
      return;
    }
    const { clock } = this.deps;
    const { endpointId, service } = use;
    use.timer.dispose();
    if (outcome === 'cancelled') {
      use.timer = clock.setTimer(CANCELLED_LIFETIME_MS, () => this.free(roomId));
      return;
    }
    if (outcome === 'served') {
      const took = clock.monotonic() - use.startedAt;
      const average = this.durations.get(service) ?? took;
      this.durations.set(service, average + DURATION_SAMPLE_WEIGHT * (took - average));
      this.pauses.delete(endpointId);
    } else {
      this.pause(endpointId, outcome);
    }
    this.free(roomId);
  }

  /** Counts room that requests of a VM took under an earlier coordinator, or in an earlier session. */
  adopt(owner: string, rooms: readonly types.IRoomUse[]): void {
    rooms.forEach(({ roomId, endpointId }) => {
      const present = this.uses.get(roomId);
      if (present !== undefined) {
        present.isOrphaned = false;
        return;
      }
      const endpoint = this.deps.directory.current.endpoints.find(({ id }) => id === endpointId);
      if (endpoint !== undefined) {
        this.use(owner, roomId, endpoint, MAX_ADOPTED_USE_MS);
      }
    });
  }

  /** Keeps the room of a VM that has disconnected for a while, and forgets its waiting requests. */
  disconnect(owner: string): void {
    this.waiting.forEach((queue, service) => {
      queue.filter((waiting) => waiting.owner === owner).forEach(({ timer }) => timer.dispose());
      this.waiting.set(
        service,
        queue.filter((waiting) => waiting.owner !== owner),
      );
    });
    const orphans = [...this.uses].filter(([, use]) => use.owner === owner);
    orphans.forEach(([, use]) => Object.assign(use, { isOrphaned: true }));
    this.deps.clock.setTimer(ORPHAN_LIFETIME_MS, () =>
      orphans
        .filter(([roomId, use]) => use.isOrphaned && this.uses.get(roomId) === use)
        .forEach(([roomId, use]) => {
          use.timer.dispose();
          this.free(roomId);
        }),
    );
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer?.subscription.dispose();
    this.uses.forEach(({ timer }) => timer.dispose());
    this.refuseAll();
  }

  /** The endpoint with most room, in the zone of the VM if several have as much; undefined if none has any. */
  private choose({
    service,
    excluded,
    availabilityZone,
  }: types.IRoomRequest): routing.IEndpoint | undefined {
    const now = this.deps.clock.monotonic();
    if (now < this.grantsFrom) {
      return undefined;
    }
    const free = this.deps.directory
      .ready(service)
      .filter(({ id }) => !excluded.includes(id) && (this.pauses.get(id)?.until ?? 0) <= now)
      .map((endpoint) => ({ endpoint, room: endpoint.slots - this.usedAt(endpoint.id) }))
      .filter(({ room }) => room > 0);
    const isNear = ({ endpoint }: { readonly endpoint: routing.IEndpoint }): number =>
      endpoint.availabilityZone === availabilityZone ? 1 : 0;
    free.sort((a, b) => b.room - a.room || isNear(b) - isNear(a));
    return free[0]?.endpoint;
  }

  /** Expected time until a request has room behind those that wait before it. */
  private expectedDelay(
    { service, excluded, priority }: types.IRoomRequest,
    queue: readonly IWaiting[],
  ): commonTypes.Millis {
    const now = this.deps.clock.monotonic();
    const endpoints = this.deps.directory.ready(service).filter(({ id }) => !excluded.includes(id));
    const usable = endpoints.filter(({ id }) => (this.pauses.get(id)?.until ?? 0) <= now);
    const slots = usable.reduce((sum, endpoint) => sum + endpoint.slots, 0);
    const startDelay = Math.max(0, this.grantsFrom - now);
    if (slots === 0) {
      const pauses = endpoints.map(({ id }) => (this.pauses.get(id)?.until ?? now) - now);
      return startDelay + Math.min(MAX_PAUSE_MS, ...pauses);
    }
    const before = queue.filter(({ request }) => request.priority <= priority).length;
    const duration = this.durations.get(service) ?? INITIAL_DURATION_MS;
    return startDelay + ((before + 1) * duration) / slots;
  }

  private grant(
    owner: string,
    request: types.IRoomRequest,
    endpoint: routing.IEndpoint,
    answer: (answer: types.RoomAnswer) => void,
  ): void {
    const { roomId, maxUse } = request;
    this.use(owner, roomId, endpoint, maxUse);
    this.deps.metrics.count('rooms', { outcome: 'granted' });
    answer({ roomId, endpointId: endpoint.id });
  }

  private use(
    owner: string,
    roomId: string,
    { id: endpointId, service }: routing.IEndpoint,
    maxUse: commonTypes.Millis,
  ): void {
    const { clock } = this.deps;
    const startedAt = clock.monotonic();
    const timer = clock.setTimer(maxUse, () => this.free(roomId));
    this.uses.set(roomId, { owner, endpointId, service, startedAt, timer, isOrphaned: false });
    this.useCounts.set(endpointId, this.usedAt(endpointId) + 1);
  }

  private free(roomId: string): void {
    const use = this.uses.get(roomId);
    if (use !== undefined) {
      const { endpointId } = use;
      this.uses.delete(roomId);
      const left = this.usedAt(endpointId) - 1;
      if (left > 0) {
        this.useCounts.set(endpointId, left);
      } else {
        this.useCounts.delete(endpointId);
      }
      this.grantWaiting(use.service);
    }
  }

  private pause(endpointId: string, outcome: 'lost' | 'rejected'): void {
    const { clock, limits, logService } = this.deps;
    const losses = (this.pauses.get(endpointId)?.losses ?? 0) + (outcome === 'lost' ? 1 : 0);
    const pause =
      outcome === 'lost'
        ? Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** (losses - 1))
        : REJECTION_PAUSE_MS / Math.max(1, limits.limitOf(endpointId) ?? 1);
    const until = clock.monotonic() + pause;
    this.pauses.set(endpointId, { until, losses });
    logService.info('brittle-endpoint-paused', { endpoint: endpointId, outcome, pause });
    this.scheduleGrants(pause);
  }

  /** Time until a pause or the start delay ends, after which waiting requests may have room. */
  private timeUntilChange(service: string): commonTypes.Millis {
    const now = this.deps.clock.monotonic();
    const ends = this.deps.directory
      .ready(service)
      .map(({ id }) => (this.pauses.get(id)?.until ?? 0) - now)
      .filter((left) => left > 0);
    return Math.min(
      MAX_PAUSE_MS,
      ...ends,
      ...(this.grantsFrom > now ? [this.grantsFrom - now] : []),
    );
  }

  /** Grants room to waiting requests after `delay`, or sooner if that is scheduled already. */
  private scheduleGrants(delay: commonTypes.Millis): void {
    const dueAt = this.deps.clock.monotonic() + delay;
    if (this.timer !== undefined && this.timer.dueAt <= dueAt) {
      return;
    }
    this.timer?.subscription.dispose();
    const subscription = this.deps.clock.setTimer(delay, () => {
      this.timer = undefined;
      const services = [...this.waiting].filter(([, queue]) => queue.length > 0);
      services.forEach(([service]) => this.grantWaiting(service));
      const delays = services.map(([service]) => this.timeUntilChange(service));
      if (delays.length > 0) {
        this.scheduleGrants(Math.min(...delays));
      }
    });
    this.timer = { subscription, dueAt };
  }

  /** Grants room to waiting requests in order; one whose excluded endpoints are the only free ones stays. */
  private grantWaiting(service: string): void {
    const left = (this.waiting.get(service) ?? []).filter((waiting) => {
      const endpoint = this.choose(waiting.request);
      if (endpoint !== undefined) {
        waiting.timer.dispose();
        this.grant(waiting.owner, waiting.request, endpoint, waiting.answer);
      }
      return endpoint === undefined;
    });
    this.waiting.set(service, left);
  }

  private refuse(service: string, roomId: string): void {
    const queue = this.waiting.get(service) ?? [];
    const refused = queue.find(({ request }) => request.roomId === roomId);
    if (refused !== undefined) {
      this.withdraw(roomId);
      this.deps.metrics.count('rooms', { outcome: 'expired' });
      const delay = Math.max(MIN_DELAY_MS, this.expectedDelay(refused.request, queue));
      refused.answer({ roomId, delay });
    }
  }

  private withdraw(roomId: string): void {
    this.waiting.forEach((queue, service) => {
      const found = queue.find(({ request }) => request.roomId === roomId);
      if (found !== undefined) {
        found.timer.dispose();
        this.waiting.set(
          service,
          queue.filter((waiting) => waiting !== found),
        );
      }
    });
  }

  private refuseAll(): void {
    [...this.waiting].forEach(([service, queue]) =>
      queue.forEach(({ request, timer }) => {
        timer.dispose();
        this.refuse(service, request.roomId);
      }),
    );
  }
}
