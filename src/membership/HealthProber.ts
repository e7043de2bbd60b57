import type * as commonTypes from '../common/Types.js';
import type * as configTypes from '../config/Types.js';

/** Time in which every watched endpoint is asked once. */
const ROUND_MS = 30_000;
/** Least time between two questions. */
const MIN_PAUSE_MS = 100;

/** Asks one endpoint for its incarnation; undefined when it gives none. */
export type FetchIncarnation = (endpoint: configTypes.IEndpoint) => Promise<string | undefined>;

/**
 * Learns the incarnations of the watched endpoints, one after another: at 48 watched endpoints of a pool
 * that is less than two small calls a second and pool.
 */
export class HealthProber implements commonTypes.IDisposable {
  private readonly controller = new AbortController();

  private turn = 0;

  /** Runs until disposed. */
  constructor(
    private readonly watched: () => readonly configTypes.IEndpoint[],
    private readonly ask: FetchIncarnation,
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
      await this.askOne(endpoints);
      await this.pause(Math.max(MIN_PAUSE_MS, ROUND_MS / Math.max(1, endpoints.length)));
    }
  }

  private async askOne(endpoints: readonly configTypes.IEndpoint[]): Promise<void> {
    const endpoint = endpoints[this.turn % Math.max(1, endpoints.length)];
    this.turn += 1;
    if (!endpoint) {
      return;
    }
    const incarnation = await this.ask(endpoint);
    if (incarnation !== undefined && !this.controller.signal.aborted) {
      this.onIncarnation(endpoint.name, incarnation);
    }
  }

  private async pause(span: commonTypes.Millis): Promise<void> {
    try {
      await this.clock.sleep(span, this.controller.signal);
    } catch {
      // Disposed: the loop ends.
    }
  }
}
