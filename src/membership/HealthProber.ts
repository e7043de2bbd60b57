import type * as commonTypes from '../common/Types.js';
import type * as configTypes from '../config/Types.js';

/** Time within which each watched endpoint is probed once. */
const PROBE_ROUND_MS = 30_000;
/** Minimum time between two probes. */
const MIN_PROBE_INTERVAL_MS = 100;

/** Requests the incarnation of one endpoint; resolves with undefined when the endpoint reports none. */
export type FetchIncarnation = (endpoint: configTypes.IEndpoint) => Promise<string | undefined>;

/**
 * Probes the watched endpoints for their incarnations, one at a time. With 48 watched endpoints in a pool this
 * is less than two small calls per second and pool.
 */
export class HealthProber implements commonTypes.IDisposable {
  private readonly controller = new AbortController();

  private probeCount = 0;

  /** Starts to probe; runs until disposed. */
  constructor(
    private readonly watched: () => readonly configTypes.IEndpoint[],
    private readonly fetchIncarnation: FetchIncarnation,
    private readonly onIncarnation: (endpoint: string, incarnation: string) => void,
    private readonly clock: commonTypes.IClock,
  ) {
    void this.loop();
  }

  /** @inheritdoc */
  dispose(): void {
    this.controller.abort();
  }

  private async loop(): Promise<void> {
    const { signal } = this.controller;
    while (!signal.aborted) {
      const endpoints = this.watched();
      await this.probeNext(endpoints);
      await this.pause(
        Math.max(MIN_PROBE_INTERVAL_MS, PROBE_ROUND_MS / Math.max(1, endpoints.length)),
      );
    }
  }

  private async probeNext(endpoints: readonly configTypes.IEndpoint[]): Promise<void> {
    const endpoint = endpoints[this.probeCount % Math.max(1, endpoints.length)];
    this.probeCount += 1;
    if (!endpoint) {
      return;
    }
    const incarnation = await this.fetchIncarnation(endpoint);
    if (incarnation !== undefined && !this.controller.signal.aborted) {
      this.onIncarnation(endpoint.name, incarnation);
    }
  }

  private async pause(delay: commonTypes.Millis): Promise<void> {
    try {
      await this.clock.sleep(delay, this.controller.signal);
    } catch {
      // The prober was disposed, so the loop ends.
    }
  }
}
