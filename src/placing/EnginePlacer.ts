import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import * as engineState from './EngineState.js';
import * as promptCacheEstimate from './PromptCacheEstimate.js';
import type * as types from './Types.js';

/** Share of an engine's memory that cached prompt parts are assumed to have. */
const CACHE_SHARE = 0.6;
/** Cost of another engine than the one that a shared part belongs to, against reading the part: a new coordinator then finds most parts where its predecessor had them read. */
const HOME_SHARE = 0.5;
/** Cost of running beside one more request, in prompt tokens: each request slows the others' tokens. */
const TOKENS_PER_RUNNING = 120;
/** Cost of prompt tokens that wait to be read there, against tokens of the request's own. */
const WAITING_SHARE = 0.7;
/** Cost of a byte of inputs that crosses zones, in prompt tokens. */
const TOKENS_PER_BYTE = 1 / 2000;
/** Part of the requests' places that are used before an engine counts as full. */
const FULL_SHARE = 0.95;
/** A request that slowed down is remembered this long. */
const PREFILL_MEMORY_MS = 400;

interface IRun {
  readonly engine: engineState.EngineState;
  readonly tokens: number;
  started: boolean;
}

/** Where a request's inputs lie. */
export interface IInputLocation {
  readonly zone: string;
  readonly bytes: number;
}

/** What a placement asks. */
export interface IPlacementRequest {
  readonly planId: string;
  readonly prompt: types.IPrompt;
  readonly inputs: readonly IInputLocation[];
  /** Endpoints that failed this request. */
  readonly avoid: readonly string[];
}

/**
 * Chooses a model engine for each request of one service: shared prompt parts are read once where the
 * queue allows, inputs stay in their availability zone, and an engine that fails is left out for a while.
 * Answers calm load and the crash of some engines.
 *
 * @example
 * const endpoint = placer.place(req);
 */
export class EnginePlacer {
  private readonly engines = new Map<string, engineState.EngineState>();

  private readonly runs = new Map<string, IRun>();

  private limits: routing.IEngineLimits;

  /** Places on engines with `limits`. */
  constructor(
    private readonly clock: commonTypes.IClock,
    limits: routing.IEngineLimits,
  ) {
    this.limits = limits;
  }

  /** Follows the endpoints that are ready. */
  updateEndpoints(endpoints: readonly routing.IEndpoint[], limits: routing.IEngineLimits): void {
    this.limits = limits;
    const present = new Set(endpoints.map((endpoint) => endpoint.id));
    [...this.engines.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.engines.delete(id));
    endpoints
      .filter((endpoint) => !this.engines.has(endpoint.id))
      .forEach((endpoint) => {
        const promptCache = new promptCacheEstimate.PromptCacheEstimate(
          limits.cacheTokens * CACHE_SHARE,
        );
        this.engines.set(endpoint.id, new engineState.EngineState(endpoint, promptCache));
      });
  }

  /** Chooses an engine and counts the request there until `end`; undefined when there is none. */
  place(req: IPlacementRequest): routing.IEndpoint | undefined {
    const now = this.clock.monotonic();
    const engines = [...this.engines.values()].filter(
      (engine) => !req.avoid.includes(engine.endpoint.id),
    );
    const sound = engines.filter((engine) => engine.ejectedUntil <= now && !engine.isStalled(now));
    const chosen = this.cheapest(sound.length > 0 ? sound : engines, req);
    if (chosen === undefined) {
      return undefined;
    }
    this.begin(chosen, req);
    return chosen.endpoint;
  }

  /** The engine has read the request's prompt. */
  markStarted(planId: string): void {
    const run = this.runs.get(planId);
    if (run !== undefined) {
      if (!run.started) {
        run.started = true;
        run.engine.markStarted(run.tokens, this.clock.monotonic());
      }
    }
  }

  /** The request left its engine. */
  removeRequest(planId: string): void {
    const run = this.runs.get(planId);
    if (run !== undefined) {
      if (!run.started) {
        run.engine.removeWaiting(run.tokens, this.clock.monotonic());
      }
      this.runs.delete(planId);
      run.engine.removeRequest();
    }
  }

  /** An engine failed a request. */
  recordFailure(endpointId: string): void {
    this.engines.get(endpointId)?.recordFailure(this.clock.monotonic());
  }

  /** Availability zone of the engine that has read most of a prompt, or that its shared part belongs to. */
  preferredZone(prompt: types.IPrompt): string | undefined {
    const home = this.homeOf([...this.engines.values()], prompt);
    let most = 0;
    let zone = this.engines.get(home)?.endpoint.availabilityZone;
    this.engines.forEach(({ endpoint, promptCache }) => {
      const known = promptCache.cachedTokens(prompt);
      if (known > most) {
        most = known;
        zone = endpoint.availabilityZone;
      }
    });
    return zone;
  }

  /** Usual time until a request's first token once it is sent. */
  static get typicalTimeToFirstToken(): commonTypes.Millis {
    return PREFILL_MEMORY_MS / 2;
  }

  private begin(engine: engineState.EngineState, req: IPlacementRequest): void {
    this.removeRequest(req.planId);
    const tokens = engine.addRequest(req.prompt, this.clock.monotonic());
    this.runs.set(req.planId, { engine, tokens, started: false });
  }

  private cheapest(
    engines: readonly engineState.EngineState[],
    req: IPlacementRequest,
  ): engineState.EngineState | undefined {
    const full = this.limits.slots * FULL_SHARE;
    const home = this.homeOf(engines, req.prompt);
    const shared = req.prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    let best: engineState.EngineState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    engines.forEach((engine) => {
      const overfull = Math.max(0, engine.running - full) * this.limits.cacheTokens;
      const away = engine.endpoint.id === home ? 0 : shared * HOME_SHARE;
      const cost = this.costOf(engine, req) + overfull + away;
      if (cost < bestCost) {
        best = engine;
        bestCost = cost;
      }
    });
    return best;
  }

  /** The engine that the shared part of a prompt belongs to, whoever places it: highest random weight. */
  private homeOf(engines: readonly engineState.EngineState[], prompt: types.IPrompt): string {
    const shared = prompt.parts.at(-2)?.id;
    if (shared === undefined) {
      return '';
    }
    let best = '';
    let bestWeight = -1;
    engines.forEach(({ endpoint }) => {
      const weight = weightOf(`${shared}/${endpoint.id}`);
      if (weight > bestWeight) {
        best = endpoint.id;
        bestWeight = weight;
      }
    });
    return best;
  }

  private costOf(engine: engineState.EngineState, req: IPlacementRequest): number {
    const unread = req.prompt.tokensIn - engine.promptCache.cachedTokens(req.prompt);
    const crossing = req.inputs
      .filter((input) => input.zone !== engine.endpoint.availabilityZone)
      .reduce((sum, input) => sum + input.bytes, 0);
    return (
      unread +
      engine.waitingTokens * WAITING_SHARE +
      engine.running * TOKENS_PER_RUNNING +
      crossing * TOKENS_PER_BYTE
    );
  }
}

/** A well-mixed number for a text (FNV-1a). */
function weightOf(text: string): number {
  let hash = 2_166_136_261;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 16_777_619);
  }
  return Math.imul(hash ^ (hash >>> 15), 2_246_822_519) >>> 0;
}
