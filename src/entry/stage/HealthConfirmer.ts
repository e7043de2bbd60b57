import * as lruCache from 'lru-cache';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as endpointError from '../endpoints/EndpointError.js';
import type * as entryTypes from '../Types.js';
import type * as crashBlame from './CrashBlame.js';

const HEALTH_PATH = '/healthz';
const MAX_ENDPOINTS = 20_000;
/** Crashes of one endpoint whose incarnation is unknown count as one within this time. */
const UNKNOWN_CRASH_MS = 1_000;
/** Nothing listens at the endpoint. */
const DOWN = '\u0000down';
/** The endpoint gave no incarnation in time, which proves no crash. */
const UNSURE = '\u0000unsure';

/** Asks an endpoint for its incarnation: a refused connection or another incarnation is a crash. */
export class HealthConfirmer implements crashBlame.ICrashConfirmer {
  private readonly incarnations = new lruCache.LRUCache<string, string>({ max: MAX_ENDPOINTS });

  private probes = 0;

  /** Asks through `client`. */
  constructor(
    private readonly options: decisionOptions.ICrashOptions,
    private readonly clock: commonTypes.IClock,
    private readonly client: entryTypes.IEndpointClient,
  ) {}

  /** Learns the incarnation while the endpoint is well. */
  learn(endpoint: string, incarnation: string): void {
    this.incarnations.set(endpoint, incarnation);
  }

  /** The incarnation that the endpoint gives now; undefined when it gives none. */
  async askIncarnation(endpoint: configTypes.IEndpoint): Promise<string | undefined> {
    const found = await this.ask(endpoint);
    return found === DOWN || found === UNSURE ? undefined : found;
  }

  /** @inheritdoc */
  async confirm(endpoint: configTypes.IEndpoint): Promise<string | undefined> {
    const known = this.incarnations.get(endpoint.name);
    const found = await this.ask(endpoint);
    if (found !== DOWN && (found === UNSURE || known === undefined || known === found)) {
      return undefined;
    }
    const moment = Math.floor(this.clock.now() / UNKNOWN_CRASH_MS);
    return `${endpoint.name}/${known ?? moment}`;
  }

  /** The incarnation that the endpoint gives now, DOWN when nothing listens, else UNSURE. */
  private async ask(endpoint: configTypes.IEndpoint): Promise<string> {
    const controller = new AbortController();
    const timer = this.clock.setTimer(this.options.confirmTimeoutMs, () => controller.abort());
    try {
      const answer = await this.client.call(endpoint, this.probe(), controller.signal);
      return readIncarnation(answer.body);
    } catch (err) {
      const failure = err instanceof endpointError.EndpointError ? err.failure : undefined;
      return failure === 'connect-failed' || failure === 'connection-lost' ? DOWN : UNSURE;
    } finally {
      timer.dispose();
    }
  }

  private probe(): entryTypes.IEndpointCall {
    this.probes += 1;
    return {
      method: 'GET',
      path: HEALTH_PATH,
      callId: `health-${this.probes}`,
      headers: {},
      body: new Uint8Array(0),
      budget: this.options.confirmTimeoutMs,
      stream: false,
      // A connection of its own: a kept one may be to the old incarnation.
      repeatable: false,
    };
  }
}

function readIncarnation(body: Uint8Array): string {
  const parsed: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
  const incarnation = (parsed as { readonly incarnation?: unknown } | null)?.incarnation;
  return incarnation === undefined ? UNSURE : String(incarnation);
}
