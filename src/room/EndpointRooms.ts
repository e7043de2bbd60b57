import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as types from './Types.js';

/** Time beyond the longest wait after which a request for room that was not answered counts as refused. */
const ANSWER_TIMEOUT_MS = 60;
/** Time after an unanswered request in which a VM acts as without a coordinator. */
const LOCAL_TIME_MS = 500;
/** Retry-After value of a refusal if no better one is known. */
const RETRY_AFTER_MS = 500;
/** Longest time for which a request holds room beyond its deadline. */
const USE_MARGIN_MS = 500;

/** Why a request for room has no answer: the coordinator was lost, or is silent. */
type NoAnswer = 'lost' | 'unanswered';

interface IHeldRoom extends types.IRoomUse {
  /** Whether the coordinator knows of it, and must be told of its end. */
  isReported: boolean;
}

/** Components that endpoint rooms use. */
export interface IEndpointRoomsDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly directory: endpointDirectory.EndpointDirectory;
  /** Rejections in a second that endpoints bear. */
  readonly limits: rateLimitTable.RateLimitTable;
  /** Limiter in use while no coordinator is connected, or it does not answer. */
  readonly local: rateLimits.IEndpointRateLimiter;
  readonly link: types.IRoomLink;
  readonly metrics: commonServices.IMetricsService;
  readonly availabilityZone: string;
}

/** What a request for room depends on. */
export interface IRoomNeed {
  readonly service: string;
  /** Ids of endpoints that are not chosen. */
  readonly excluded: readonly string[];
  /** Longest time for which the request may wait for room. */
  readonly maxWait: commonTypes.Millis;
  readonly timeLeft: commonTypes.Millis;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/**
 * Room of an entry VM at brittle endpoints. The coordinator grants it and chooses the endpoint. Also exchanges with the
 * coordinator which endpoints are brittle.
 */
export class EndpointRooms {
  private readonly pending = new Map<string, (answer: types.RoomAnswer | NoAnswer) => void>();

  private readonly inUse = new Map<string, IHeldRoom>();

  /** Start of the ids of this process; another start of the VM has another one. */
  private readonly idPrefix: string;

  private nextRoomId = 1;

  private localUntil: commonTypes.Millis = 0;

  /** Starts the exchange over the link. */
  constructor(private readonly deps: IEndpointRoomsDependencies) {
    const { limits, link, random } = deps;
    this.idPrefix = `${random.nextInt(2 ** 30).toString(36)}${random.nextInt(2 ** 30).toString(36)}`;
    link.onCoordinatorFound(() => {
      link.sendRejectionLimits(limits.observations);
      this.inUse.forEach((held) => Object.assign(held, { isReported: true }));
      const held = [...this.inUse.values()];
      link.sendRooms(held.map(({ roomId, endpointId }) => ({ roomId, endpointId })));
    });
    link.onCoordinatorLost(() => [...this.pending.values()].forEach((resolve) => resolve('lost')));
    link.onRoom((answer) => this.handleAnswer(answer));
    link.onRejectionLimits((observations) =>
      link.sendRejectionLimits(limits.merge(observations, 'coordinator')),
    );
    limits.onChange(({ endpointId, isOwn }) => {
      const observation = limits.observationOf(endpointId);
      if (isOwn && observation !== undefined) {
        link.sendRejectionLimits([observation]);
      }
    });
  }

  /** Whether the endpoints of a service are brittle; those that have not answered yet are taken for like the others. */
  isBrittle(service: string): boolean {
    const { directory, limits } = this.deps;
    return directory.ready(service).some(({ id }) => limits.limitOf(id) !== undefined);
  }

  /** Waits for room at an endpoint of a brittle service. */
  async acquire(need: IRoomNeed): Promise<types.IRoom | types.IRoomRefusal> {
    const { link, clock } = this.deps;
    if (!link.isConnected || clock.monotonic() < this.localUntil) {
      return this.acquireLocally(need);
    }
    const { service, excluded, maxWait, timeLeft, priority } = need;
    const roomId = this.createId();
    const answer = await new Promise<types.RoomAnswer | NoAnswer>((resolve) => {
      const timer = clock.setTimer(maxWait + ANSWER_TIMEOUT_MS, () => resolve('unanswered'));
      this.pending.set(roomId, (received) => {
        timer.dispose();
        resolve(received);
      });
      link.requestRoom({
        roomId,
        service,
        excluded,
        maxWait,
        maxUse: timeLeft + USE_MARGIN_MS,
        priority,
        availabilityZone: this.deps.availabilityZone,
      });
    });
    this.pending.delete(roomId);
    if (answer === 'lost') {
      return this.acquireLocally(need);
    }
    if (answer === 'unanswered') {
      this.deps.metrics.count('rooms', { outcome: 'unanswered' });
      this.localUntil = clock.monotonic() + LOCAL_TIME_MS;
      link.releaseRoom(roomId, 'cancelled');
      return { retryAfter: RETRY_AFTER_MS };
    }
    return 'delay' in answer ? { retryAfter: answer.delay } : this.open(roomId, answer.endpointId);
  }

  /** Records that a request runs at an engine that the coordinator chose, for a successor of that coordinator. */
  recordPlaced(planId: string, endpointId: string): commonTypes.IDisposable {
    const roomId = `${this.idPrefix}/${planId}`;
    this.inUse.set(roomId, { roomId, endpointId, isReported: false });
    return { dispose: () => this.release(roomId, 'served') };
  }

  private createId(): string {
    const roomId = `${this.idPrefix}-${this.nextRoomId}`;
    this.nextRoomId += 1;
    return roomId;
  }

  private handleAnswer(answer: types.RoomAnswer): void {
    const resolve = this.pending.get(answer.roomId);
    if (resolve !== undefined) {
      resolve(answer);
    } else if ('endpointId' in answer && !this.inUse.has(answer.roomId)) {
      this.deps.link.releaseRoom(answer.roomId, 'cancelled');
    }
  }

  private open(roomId: string, endpointId: string): types.IRoom | types.IRoomRefusal {
    const { directory, link } = this.deps;
    const endpoint = directory.current.endpoints.find(({ id }) => id === endpointId);
    if (endpoint === undefined || !directory.isOpen(endpoint)) {
      link.releaseRoom(roomId, 'cancelled');
      return { retryAfter: RETRY_AFTER_MS };
    }
    this.inUse.set(roomId, { roomId, endpointId, isReported: true });
    return { endpoint, release: (outcome) => this.release(roomId, outcome) };
  }

  private release(roomId: string, outcome: types.RoomOutcome): void {
    const held = this.inUse.get(roomId);
    this.inUse.delete(roomId);
    if (held?.isReported === true) {
      this.deps.link.releaseRoom(roomId, outcome);
    }
  }

  /** Without a coordinator nobody counts all requests, so that only so many are sent that could all be rejected. */
  private acquireLocally({ service, excluded }: IRoomNeed): types.IRoom | types.IRoomRefusal {
    const { directory, local, metrics } = this.deps;
    const endpoints = directory.ready(service).filter(({ id }) => !excluded.includes(id));
    const endpoint = endpoints.find(({ id }) => local.take(id));
    metrics.count('rooms', { outcome: endpoint ? 'granted-locally' : 'refused-locally' });
    return endpoint === undefined
      ? { retryAfter: RETRY_AFTER_MS }
      : { endpoint, release: () => {} };
  }
}
