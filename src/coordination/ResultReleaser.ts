import type * as batching from '../batching/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as rateLimits from '../ratelimit/Types.js';

/** Results that become unused within this interval are freed with one call per endpoint. */
const BATCH_INTERVAL_MS = 8;

/** Components that a releaser uses. */
export interface IResultReleaserDependencies {
  readonly clock: commonTypes.IClock;
  readonly caller: batching.IStageCaller;
  readonly rateLimiter: rateLimits.IEndpointRateLimiter;
}

interface IPendingResults {
  results: readonly batching.IHeldResult[];
  readonly timer: commonTypes.IDisposable;
}

/**
 * Frees results that are no longer needed at the endpoints that hold them. The calls count against the rate limits of
 * endpoints; results that expire before a limit allows the call need none.
 */
export class ResultReleaser implements commonTypes.IDisposable {
  private readonly pending = new Map<string, IPendingResults>();

  /** `onFreed` is called with the name of a stage service after some of its results were freed. */
  constructor(
    private readonly deps: IResultReleaserDependencies,
    private readonly onFreed: (service: string) => void,
  ) {}

  /** Frees results soon, together with others at the same endpoint. */
  add(results: readonly batching.IHeldResult[]): void {
    results.forEach((result) => this.schedule(result.maker.id, [result], BATCH_INTERVAL_MS));
  }

  /** Frees the results that wait, as far as rate limits allow. */
  dispose(): void {
    [...this.pending.keys()].forEach((endpointId) => this.flush(endpointId));
    this.pending.forEach(({ timer }) => timer.dispose());
    this.pending.clear();
  }

  private schedule(
    endpointId: string,
    results: readonly batching.IHeldResult[],
    delay: commonTypes.Millis,
  ): void {
    const present = this.pending.get(endpointId);
    if (present !== undefined) {
      present.results = [...present.results, ...results];
      return;
    }
    const timer = this.deps.clock.setTimer(delay, () => this.flush(endpointId));
    this.pending.set(endpointId, { results, timer });
  }

  private flush(endpointId: string): void {
    const { clock, rateLimiter } = this.deps;
    const waiting = this.pending.get(endpointId);
    waiting?.timer.dispose();
    this.pending.delete(endpointId);
    const live = (waiting?.results ?? []).filter(({ expiresAt }) => expiresAt > clock.monotonic());
    if (live.length === 0) {
      return;
    }
    if (rateLimiter.take(endpointId)) {
      void this.free(live);
    } else {
      this.schedule(endpointId, live, Math.max(BATCH_INTERVAL_MS, rateLimiter.delayOf(endpointId)));
    }
  }

  /** Frees results of one endpoint; their memory counts as available only after the endpoint has confirmed. */
  private async free(results: readonly batching.IHeldResult[]): Promise<void> {
    const { maker } = results[0] as batching.IHeldResult;
    const handles = results.map(({ handle }) => handle);
    if (await this.deps.caller.free(maker, handles)) {
      results.forEach((result) => result.release());
      this.onFreed(maker.service);
    }
  }
}
