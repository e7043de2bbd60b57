import type * as commonTypes from '../common/Types.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as room from '../room/Types.js';
import type * as routing from '../routing/Types.js';
import * as engineSpeeds from './EngineSpeeds.js';
import * as engineState from './EngineState.js';
import * as homeEngine from './HomeEngine.js';
import * as promptCacheEstimate from './PromptCacheEstimate.js';
import type * as types from './Types.js';

/** Ratio of an engine's token memory that is assumed to hold cached prompt parts. */
const CACHE_MEMORY_RATIO = 0.6;
/**
 * Cost of an engine other than the home engine of a shared part, relative to reading the part: a new coordinator then
 * finds most parts cached where its predecessor placed them.
 */
const AWAY_FROM_HOME_COST_RATIO = 0.5;
/** Cost of each request placed on an engine, in prompt tokens: each one slows the token generation of the others. */
const RUNNING_REQUEST_COST_TOKENS = 120;
/** Cost of a prompt token that waits to be read on an engine, relative to a token of the request to place. */
const WAITING_TOKEN_COST_RATIO = 0.7;
/** Cost of an input byte that crosses availability zones, in prompt tokens. */
const CROSS_ZONE_COST_TOKENS_PER_BYTE = 1 / 2000;
/** Ratio of an engine's slots above which it counts as full. */
const FULL_SLOTS_RATIO = 0.95;
/** Twice the typical time from sending a request to its first token. */
const PREFILL_WINDOW_MS = 400;

/** Interval at which requests that wait for room at a brittle engine are tried again. */
const ROOM_RETRY_MS = 20;
/** Weight of a new sample in the average duration of requests. */
const DURATION_SAMPLE_WEIGHT = 0.1;
/** Shared parts whose home engine is remembered. */
const MAX_HOMES = 10_000;
/** Assumed duration of requests before the first one has ended. */
const INITIAL_DURATION_MS = 500;

interface IPlacedRequest {
  readonly engine: engineState.EngineState;
  readonly unreadTokens: number;
  /** Prompt tokens that the engine had to read before it could start the request, its own ones included. */
  readonly tokensAhead: number;
  readonly placedAt: commonTypes.Millis;
  hasStarted: boolean;
}

/** What an engine has to do for a request before its first token. */
export interface IPlacedWork {
  readonly endpoint: routing.IEndpoint;
  /** Prompt tokens of the request that the engine has to read. */
  readonly tokens: number;
  /** The same with those of the requests that waited there before. */
  readonly tokensAhead: number;
  readonly placedAt: commonTypes.Millis;
}

/**
 * Chooses a model engine for each request of one service by the lowest cost in prompt tokens. The cost
 * favours engines that have the shared prompt parts cached, short queues, and inputs in the same
 * availability zone; engines that have failed are ejected for a while, and engines that name a rate limit get no more
 * requests than it allows. On engines that say how fast they work, work costs as much as it takes longer there. Covers moderate load and the crash of some engines.
 *
 * @example
 * const endpoint = placer.place(req);
 */
export class EnginePlacer {
  private readonly engines = new Map<string, engineState.EngineState>();

  private readonly placedRequests = new Map<string, IPlacedRequest>();

  private readonly cachedParts: promptCacheEstimate.IPartCount = { parts: 0 };

  /** Home engines among all engines, by the id of the shared part. */
  private readonly homes = new Map<string, string>();

  private limits: routing.IEngineLimits;

  /** Average time from the placement of a request to its end, at least 1 ms. */
  private usualDuration: commonTypes.Millis = INITIAL_DURATION_MS;

  /** Creates a placer without engines; `limits` apply to each engine. */
  constructor(
    private readonly clock: commonTypes.IClock,
    limits: routing.IEngineLimits,
    private readonly rateLimiter: rateLimits.IEndpointRateLimiter,
    private readonly rooms: room.IRoomCheck,
  ) {
    this.limits = limits;
  }

  /** Replaces the ready endpoints and the limits; endpoints that remain keep their state. */
  updateEndpoints(endpoints: readonly routing.IEndpoint[], limits: routing.IEngineLimits): void {
    this.limits = limits;
    this.homes.clear();
    const versions = new Map(endpoints.map(({ id, version }) => [id, version]));
    [...this.engines]
      .filter(([id, { endpoint }]) => !versions.has(id) || versions.get(id) !== endpoint.version)
      .forEach(([id, { promptCache }]) => {
        promptCache.dispose();
        this.engines.delete(id);
      });
    endpoints
      .filter((endpoint) => !this.engines.has(endpoint.id))
      .forEach((endpoint) => {
        const promptCache = new promptCacheEstimate.PromptCacheEstimate(
          limits.cacheTokens * CACHE_MEMORY_RATIO,
          this.cachedParts,
        );
        this.engines.set(endpoint.id, new engineState.EngineState(endpoint, promptCache));
      });
  }

  /**
   * Chooses an engine and counts the request there until `removeRequest`. Ejected and stalled engines are
   * chosen only if there are no others. Returns undefined if no engine is left, or none whose rate limit allows a
   * request now.
   */
  place(req: types.IPlacementRequest): routing.IEndpoint | undefined {
    const now = this.clock.monotonic();
    const engines = this.enginesFor(req).filter(
      (engine) => this.rateLimiter.delayOf(engine.endpoint.id) === 0 && this.hasRoom(engine),
    );
    const healthy = engines.filter(
      (engine) => engine.ejectedUntil <= now && !engine.isStalled(now),
    );
    const mayChooseAny = healthy.length === 0 && req.needsHealthy !== true;
    const chosen = this.findCheapest(mayChooseAny ? engines : healthy, req);
    if (chosen === undefined || !this.rateLimiter.take(chosen.endpoint.id)) {
      return undefined;
    }
    this.assign(chosen, req);
    return chosen.endpoint;
  }

  /**
   * Time until the rate limit of an engine allows a request, 0 if it does now; infinite if no engine may run it.
   */
  limitDelay(req: Pick<types.IPlacementRequest, 'avoid' | 'version'>): commonTypes.Millis {
    const delays = this.enginesFor(req).map((engine) =>
      Math.max(
        this.rateLimiter.delayOf(engine.endpoint.id),
        this.hasRoom(engine) ? 0 : ROOM_RETRY_MS,
      ),
    );
    return Math.min(Number.POSITIVE_INFINITY, ...delays);
  }

  /**
   * Requests per second that all engines together accept; undefined while there is one without a rate limit that is not
   * brittle either. A brittle engine accepts as many as it runs at the same time, each for the usual duration.
   */
  get rateLimit(): number | undefined {
    let sum: number | undefined;
    for (const { endpoint } of this.engines.values()) {
      const rate = this.acceptedRate(endpoint);
      if (rate === undefined) {
        return undefined;
      }
      sum = (sum ?? 0) + rate;
    }
    return sum;
  }

  /** What the engine of a request has to do before its first token; undefined if the request is on no engine. */
  workOf(planId: string): IPlacedWork | undefined {
    const placed = this.placedRequests.get(planId);
    return (
      placed && {
        endpoint: placed.engine.endpoint,
        tokens: placed.unreadTokens,
        tokensAhead: placed.tokensAhead,
        placedAt: placed.placedAt,
      }
    );
  }

  /** Requests on all engines as a fraction of those that they run concurrently. */
  get occupancy(): number {
    const slots = this.engines.size * this.limits.slots;
    return slots === 0 ? 1 : this.placedRequests.size / slots;
  }

  /** Ids of the engines in an availability zone. */
  enginesIn(availabilityZone: string): readonly string[] {
    return [...this.engines.values()]
      .filter(({ endpoint }) => endpoint.availabilityZone === availabilityZone)
      .map(({ endpoint }) => endpoint.id);
  }

  /**
   * Records that the engine has read the request's prompt, and the slowdown that it reports, if any; repeated calls have
   * no effect.
   */
  markStarted(planId: string, slowdown?: number): void {
    const placed = this.placedRequests.get(planId);
    if (placed !== undefined) {
      if (slowdown !== undefined && !placed.hasStarted) {
        placed.engine.slowdown.record(slowdown, this.clock.monotonic());
      }
      if (!placed.hasStarted) {
        placed.hasStarted = true;
        placed.engine.markStarted(placed.unreadTokens, this.clock.monotonic());
      }
    }
  }

  /** Records the mean time between the events that an engine sent for a request; before the request is removed. */
  recordEventGap(planId: string, gap: commonTypes.Millis): void {
    this.placedRequests.get(planId)?.engine.recordGap(gap);
  }

  /**
   * Time that work takes on an engine now, relative to an engine of median pace; undefined if it does not say how fast it
   * works.
   */
  relativeTimeOf(endpointId: string): number | undefined {
    const engine = this.engines.get(endpointId);
    const pace = engineSpeeds.medianPace([...this.engines.values()]);
    return engine?.slowdown.isKnown === true
      ? engineSpeeds.expectedTime(engine, pace, this.clock.monotonic())
      : undefined;
  }

  /** Removes a request from its engine; unknown plan ids are ignored. */
  removeRequest(planId: string): void {
    this.remove(planId, ({ engine, unreadTokens }) =>
      engine.removeWaiting(unreadTokens, this.clock.monotonic()),
    );
  }

  /** Removes a request from an engine that another one has outrun: a stalled engine stays one. */
  removeOutrun(planId: string): void {
    this.remove(planId, ({ engine, unreadTokens }) => engine.removeOutrun(unreadTokens));
  }

  /** Counts a request under another plan id from now on, in place of the one there; unknown ids are ignored. */
  rename(planId: string, newId: string): void {
    const placed = this.placedRequests.get(planId);
    if (placed !== undefined) {
      this.placedRequests.delete(planId);
      this.placedRequests.set(newId, placed);
    }
  }

  private remove(planId: string, removeWaiting: (placed: IPlacedRequest) => void): void {
    const placed = this.placedRequests.get(planId);
    if (placed !== undefined) {
      if (!placed.hasStarted) {
        removeWaiting(placed);
      }
      this.placedRequests.delete(planId);
      placed.engine.removeRequest();
      if (placed.hasStarted) {
        const took = this.clock.monotonic() - placed.placedAt;
        this.usualDuration += DURATION_SAMPLE_WEIGHT * (took - this.usualDuration);
      }
    }
  }

  /** Records that an engine failed a request and ejects it for a while; unknown ids are ignored. */
  recordFailure(endpointId: string): void {
    this.engines.get(endpointId)?.recordFailure(this.clock.monotonic());
  }

  /**
   * Availability zone of the engine that has most of a prompt cached, or else of the home engine of its shared part.
   */
  preferredZone(prompt: types.IPrompt): string | undefined {
    const home = this.homeOf([...this.engines.values()], prompt);
    let mostCached = 0;
    let zone = this.engines.get(home)?.endpoint.availabilityZone;
    this.engines.forEach(({ endpoint, promptCache }) => {
      const cached = promptCache.cachedTokens(prompt);
      if (cached > mostCached) {
        mostCached = cached;
        zone = endpoint.availabilityZone;
      }
    });
    return zone;
  }

  /** Typical time from sending a request to its first token. */
  static get typicalTimeToFirstToken(): commonTypes.Millis {
    return PREFILL_WINDOW_MS / 2;
  }

  /** Requests per second that an engine accepts; undefined if they are not limited. */
  private acceptedRate(endpoint: routing.IEndpoint): number | undefined {
    const rate = this.rateLimiter.rateOf(endpoint.id);
    if (!this.rooms.isBounded(endpoint)) {
      return rate;
    }
    const capacity = (endpoint.slots * 1000) / this.usualDuration;
    return rate === undefined ? capacity : Math.min(rate, capacity);
  }

  private hasRoom({ endpoint, placedRequestCount }: engineState.EngineState): boolean {
    return this.rooms.hasRoom(endpoint, placedRequestCount);
  }

  /** Home engine of a prompt among `engines`, which are all engines as a rule. */
  private homeOf(engines: readonly engineState.EngineState[], prompt: types.IPrompt): string {
    const sharedPartId = prompt.parts.at(-2)?.id;
    if (sharedPartId === undefined || engines.length < this.engines.size) {
      return homeEngine.homeEngineOf(engines, prompt);
    }
    const known = this.homes.get(sharedPartId);
    if (known !== undefined) {
      return known;
    }
    if (this.homes.size >= MAX_HOMES) {
      this.homes.clear();
    }
    const home = homeEngine.homeEngineOf(engines, prompt);
    this.homes.set(sharedPartId, home);
    return home;
  }

  private enginesFor({
    avoid,
    version,
  }: Pick<types.IPlacementRequest, 'avoid' | 'version'>): readonly engineState.EngineState[] {
    return [...this.engines.values()].filter(
      ({ endpoint }) =>
        !avoid.includes(endpoint.id) &&
        (version === undefined || (endpoint.version ?? '') === version),
    );
  }

  private assign(engine: engineState.EngineState, req: types.IPlacementRequest): void {
    this.removeRequest(req.planId);
    const { waitingTokens } = engine;
    const tokens = engine.addRequest(req.prompt, this.clock.monotonic());
    const placedAt = this.clock.monotonic();
    this.placedRequests.set(req.planId, {
      engine,
      unreadTokens: tokens,
      tokensAhead: waitingTokens + tokens,
      placedAt,
      hasStarted: false,
    });
  }

  private findCheapest(
    engines: readonly engineState.EngineState[],
    req: types.IPlacementRequest,
  ): engineState.EngineState | undefined {
    const fullThreshold = this.limits.slots * FULL_SLOTS_RATIO;
    const home = this.homeOf(engines, req.prompt);
    const sharedTokens = req.prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    const pace = engineSpeeds.medianPace([...this.engines.values()]);
    const now = this.clock.monotonic();
    let best: engineState.EngineState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    engines.forEach((engine) => {
      const overloadCost =
        Math.max(0, engine.placedRequestCount - fullThreshold) * this.limits.cacheTokens;
      const awayFromHomeCost =
        engine.endpoint.id === home ? 0 : sharedTokens * AWAY_FROM_HOME_COST_RATIO;
      const relativeTime = engineSpeeds.expectedTime(engine, pace, now);
      const cost = this.costOf(engine, req, relativeTime) + overloadCost + awayFromHomeCost;
      if (cost < bestCost) {
        best = engine;
        bestCost = cost;
      }
    });
    return best;
  }

  /** `relativeTime` is the time that work takes on the engine, relative to others. */
  private costOf(
    engine: engineState.EngineState,
    req: types.IPlacementRequest,
    relativeTime: number,
  ): number {
    const unreadTokens = req.prompt.tokensIn - engine.promptCache.cachedTokens(req.prompt);
    const crossZoneBytes = req.inputs
      .filter((input) => input.zone !== engine.endpoint.availabilityZone)
      .reduce((sum, input) => sum + input.bytes, 0);
    const tokensToRead = unreadTokens + engine.waitingTokens * WAITING_TOKEN_COST_RATIO;
    // Engines with as many requests each get work by their speed, because a slow one keeps its requests for longer.
    return (
      tokensToRead * relativeTime +
      engine.placedRequestCount * RUNNING_REQUEST_COST_TOKENS +
      crossZoneBytes * CROSS_ZONE_COST_TOKENS_PER_BYTE
    );
  }
}
